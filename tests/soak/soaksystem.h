#pragma once

#include "base/random.h"
#include "http/webserver.h"
#include "soak/brokenendpoint.h"
#include "soak/endlessendpoint.h"
#include "soak/faultproxy.h"
#include "soak/invariantchecker.h"
#include "soak/soakendpoint.h"
#include "soak/soakprocess.h"
#include "soak/storeserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

struct SoakSystemSettings {
    std::string program;
    /// Directory for the settings and logs of the processes.
    std::string directory;
    int gateways = 3;
    int schedulers = 3;
    int engines = 5;
    int engineSlots = 8;
    /// Time between two events of a run at an engine.
    Milliseconds eventInterval{25};
    int services = 2;
    /// Number of faulty endpoints, of the plain service and of the engines in turn, whose responses never end.
    int endlessEndpoints = 0;
    /// Number of faulty endpoints of the plain service whose responses are invalid or cut.
    int brokenEndpoints = 0;
    /// Time between two replacements of an engine by one of another software version; zero: there are none.
    Milliseconds releaseInterval{0};
    /// Time between two changes of the schedulers' hosts that are to be emptied; zero: there are none.
    Milliseconds emptyHostsInterval{0};
    /// Time between two configurations beside those of the fault plan, each of which is judged at the gateways; zero: there are none.
    Milliseconds configurationInterval{0};
    std::vector<std::string> models = {"alpha", "beta"};
    /// The output of the first gateway is never read; the gateway has to serve requests nevertheless.
    bool leavesOutputUnread = false;
};

/// A process with the proxies on its links.
struct SoakNode {
    std::string name;
    std::string settingsFile;
    std::unique_ptr<SoakProcess> process;
    /// Proxy between the process and the metadata store.
    std::unique_ptr<FaultProxy> storeProxy;
    /// Proxy between clients and a gateway; null for schedulers.
    std::unique_ptr<FaultProxy> clientProxy;
};

/// The system under test and its environment. The metadata store, the receiver of usage reports and the endpoints run in this
/// process; gateways and schedulers are separate processes.
class SoakSystem
{
public:
    SoakSystem(asio::io_context &io, const EventLoop &loop, Random &random, InvariantChecker &checker, SoakSystemSettings settings);

    void start();

    std::vector<SoakNode> &nodes()
    {
        return m_nodes;
    }
    const std::vector<SoakNode> &nodes() const
    {
        return m_nodes;
    }

    std::vector<std::unique_ptr<SoakEndpoint>> &endpoints()
    {
        return m_endpoints;
    }

    const std::vector<std::unique_ptr<EndlessEndpoint>> &endlessEndpoints() const
    {
        return m_endlessEndpoints;
    }

    const std::vector<std::unique_ptr<BrokenEndpoint>> &brokenEndpoints() const
    {
        return m_brokenEndpoints;
    }

    FakeMetadataStore &store()
    {
        return m_store.store();
    }

    /// Addresses at which clients reach the gateways, as "127.0.0.1:PORT".
    std::vector<std::string> clientAddresses() const;

    /// Tells the checker that the process of a gateway was killed, paused, continued or stopped.
    void recordProcessFault(const SoakNode &node);

    /// Publishes a weight version of a model.
    void publishVersion(const std::string &model, std::uint64_t version);
    std::uint64_t publishedVersion(const std::string &model) const;

    /// Writes a new version of the configuration to the store.
    void publishConfiguration();
    /// Sets the timeout of the plain routes for the next configuration.
    void setRouteTimeout(Milliseconds timeout)
    {
        m_routeTimeout = timeout;
    }
    /// A configuration and the time of its acknowledgement.
    struct PublishedConfiguration {
        std::uint64_t number;
        Timestamp at;
    };
    /// Returns the newest configuration that was acknowledged before the given time, or null. The pointer holds until the next call of a
    /// function that publishes.
    const PublishedConfiguration *configurationPublishedBefore(Timestamp time) const;
    /// Path of a route that exists from the given configuration on.
    static std::string addedPath(std::uint64_t configuration);
    /// Path of a route that exists in the given configuration alone.
    static std::string passingPath(std::uint64_t configuration);

    /// Records that a process, one of its links, or with an empty name the store has a fault until the given time.
    void recordDisturbance(const std::string &node, Timestamp until);
    /// Whether the process runs, is not stopping, and has had no fault for the span before now; nor has the store.
    bool isCalm(const SoakNode &node, Milliseconds span) const;

    /// Withdraws the oldest key, unless only one is left.
    void withdrawKey();
    /// Keys of the current configuration.
    const std::vector<std::string> &apiKeys() const
    {
        return m_apiKeys;
    }

    /// Appends a comment to the settings file of a process, so that the file changes and the settings do not.
    void touchSettings(const SoakNode &node);

    static constexpr const char *Host = "soak.example";

private:
    void addNode(const std::string &role, int number);
    std::string settingsText(const std::string &role, const SoakNode &node);
    std::uint16_t freePort();

    asio::io_context &m_io;
    EventLoop m_loop;
    InvariantChecker &m_checker;
    SoakSystemSettings m_settings;
    StoreServer m_store;
    WebServer m_reportServer;
    std::vector<std::unique_ptr<SoakEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<EndlessEndpoint>> m_endlessEndpoints;
    std::vector<std::unique_ptr<BrokenEndpoint>> m_brokenEndpoints;
    std::vector<SoakNode> m_nodes;
    std::vector<std::string> m_peers;
    std::map<std::string, std::uint64_t> m_versions;
    std::vector<std::string> m_apiKeys = {"w1-a", "w1-b", "w1-c", "w1-d"};
    std::uint64_t m_configuration = 0;
    std::vector<PublishedConfiguration> m_configurations;
    std::map<std::string, Timestamp> m_disturbedUntil;
    /// Holds the first port of the range of this run.
    asio::ip::tcp::acceptor m_portRange;
    std::uint16_t m_lastPort;
    Milliseconds m_routeTimeout{2000};
};

}
