#pragma once

#include "process.h"

#include "http/asioeventloop.h"
#include "http/webclient.h"
#include "http/webserver.h"
#include "soak/faultproxy.h"
#include "soak/storeserver.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend::Review
{

inline constexpr const char *Host = "review.example";
inline constexpr const char *Key = "key-kept";
inline constexpr const char *Tenant = "tenant-1";

/// One request of a client and its answer.
struct Answer {
    std::string id;
    Timestamp sentAt;
    Timestamp endedAt;
    bool hasEnded = false;
    CallOutcome outcome = CallOutcome::ClosedUnanswered;
    int status = 0;
    std::string body;
    std::size_t bodyBytes = 0;
    ClientCall call;
};

/// A request as it reached an endpoint.
struct Arrival {
    std::string id;
    std::string endpoint;
    std::string tenant;
    Timestamp at;
    std::size_t bodyBytes = 0;
};

struct NodeSettings {
    std::string role;
    /// Memory of the process in bytes; zero: not limited.
    std::uint64_t memory = 0;
};

/// One process of the system.
struct Node {
    std::string name;
    std::string role;
    std::string settingsFile;
    std::string logFile;
    std::uint16_t clientPort = 0;
    std::uint16_t readinessPort = 0;
    std::uint16_t metricsPort = 0;
    std::uint16_t internalPort = 0;
    std::unique_ptr<FaultProxy> storeProxy;
    std::unique_ptr<Process> process;
    /// Largest private resident memory that was seen, in KiB.
    long peakKib = 0;
    /// How often the process has ended by itself, and when it did last.
    int ends = 0;
    Timestamp endedAt;
    Timestamp startedAt;
    bool isLimitLifted = false;
};

/// The processes of the system on loopback addresses, with stand-ins for the metadata store, the platform's API, endpoints and clients.
class Stage
{
public:
    explicit Stage(std::string recordFile);
    ~Stage();
    Stage(const Stage &) = delete;
    Stage &operator=(const Stage &) = delete;

    /// Whether the case plays its disruption.
    bool hasTrouble() const
    {
        return m_hasTrouble;
    }

    void note(const std::string &line);

    /// Starts processes; all gateways are peers.
    void startNodes(const std::vector<NodeSettings> &nodes);
    std::vector<Node> &nodes()
    {
        return m_nodes;
    }

    /// Writes the configuration: routes for plain and for batch requests. Returns the time of the acknowledgement.
    Timestamp publish(const std::vector<std::string> &keys);

    /// Adds an endpoint that answers plain requests, or one that generates texts. outputBytes: size of the text of an item.
    void addPlainEndpoint(const std::string &id);
    void addEngine(const std::string &id, std::size_t outputBytes);

    /// Adds a model engine as a deployment has it: 12 slots, streams of 13 events, weights that are changed by order in 0.9 s.
    void addModelEngine(const std::string &id);
    /// Names a version of the weights.
    void nameVersion(std::uint64_t version);

    StoreServer &storeServer()
    {
        return m_store;
    }
    FakeMetadataStore &store()
    {
        return m_store.store();
    }

    std::shared_ptr<Answer> request(std::uint16_t port, const std::string &method, const std::string &target, HttpFields fields, std::string body);
    /// A request with the kept key, a new id and a time limit.
    std::shared_ptr<Answer> clientRequest(Node &gateway, const std::string &method, const std::string &target, std::string body, Milliseconds limit);

    /// Runs until the condition holds. Returns whether it did within the time.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    void runFor(Milliseconds span);

    /// Whether all processes run; notes those that have ended.
    bool allRun();
    /// Starts processes again that have ended by themselves, as the platform does, after RestartDelay. To be called often.
    void restartEnded();
    /// Whether processes have ended by themselves three times on two machines at least, the bound of the rule.
    bool hasFault() const;
    std::string endsText() const;
    static constexpr Milliseconds RestartDelay{2000};

    /// An engine that was added with addModelEngine().
    struct Engine {
        std::string id;
        std::unique_ptr<WebServer> server;
        std::uint64_t version = 1;
        std::uint64_t sequence = 0;
        bool isBusy = false;
        int running = 0;
        int peakRunning = 0;
        /// The highest generation number of an order so far, and the orders with a lower one that came after it.
        std::uint64_t highestToken = 0;
        int lowerTokens = 0;
        int acceptedOrders = 0;
    };
    const std::vector<std::unique_ptr<Engine>> &engines() const
    {
        return m_engines;
    }
    /// When an item last began to run at an engine, by the id of the item.
    const std::map<std::string, Timestamp> &beginnings() const
    {
        return m_beginnings;
    }

    bool waitUntilReady(Milliseconds limit);

    Timestamp now() const
    {
        return m_loop.now();
    }
    EventLoop &loop()
    {
        return m_loop;
    }
    const std::vector<Arrival> &arrivals() const
    {
        return m_arrivals;
    }
    std::string newId(const std::string &prefix);

private:
    std::uint16_t freePort();
    void writeSettings(std::size_t index);
    void startNode(Node &node);
    void watchMemory();
    void servePlain(const std::string &id, const std::shared_ptr<ServerExchange> &exchange);
    void serveEngine(const std::string &id, std::size_t outputBytes, const std::shared_ptr<ServerExchange> &exchange);
    void serveModelEngine(Engine &engine, const std::shared_ptr<ServerExchange> &exchange);
    void acceptOrder(Engine &engine, const std::shared_ptr<ServerExchange> &exchange);
    void sendEvent(Engine &engine, const std::shared_ptr<ServerExchange> &exchange, int event);
    void registerModelEngine(const Engine &engine);
    void registerEndpoint(const std::string &id, const std::string &service, std::uint16_t port, bool isEngine);

    bool m_hasTrouble;
    std::ofstream m_record;
    std::string m_directory;
    asio::io_context m_io;
    EventLoop m_loop;
    Timestamp m_startedAt;
    StoreServer m_store;
    WebServer m_reports;
    WebClient m_client;
    std::vector<std::unique_ptr<WebServer>> m_endpoints;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::map<std::string, Timestamp> m_beginnings;
    std::vector<Node> m_nodes;
    std::vector<Arrival> m_arrivals;
    std::vector<std::shared_ptr<Answer>> m_answers;
    std::uint64_t m_version = 0;
    std::uint64_t m_namedVersion = 1;
    std::uint64_t m_lastId = 0;
    std::uint16_t m_lastPort;
};

}
