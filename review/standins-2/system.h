#pragma once

#include "record.h"
#include "replica.h"
#include "store.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review
{

/// One program of the project, started with the command of the deploy file. It is started again after it has ended, as the platform does.
class Process
{
public:
    Process(Record &record, std::string name, std::vector<std::string> command, std::string settingsFile, std::string logFile, int memoryMb);

    void start();
    void signal(int number);
    /// Ends the process for good.
    void end();
    /// Looks for the end of the process and for use of more memory than the machine has.
    void supervise();

    const std::string &name() const
    {
        return m_name;
    }
    pid_t id() const
    {
        return m_pid;
    }
    /// How often the process has ended by itself, or was killed by the platform for its use of memory.
    int ownEnds() const
    {
        return m_ownEnds;
    }
    /// Kills the process as a disturbance; it is started again.
    void kill();
    int memoryMb() const
    {
        return m_memoryMb;
    }
    long peakMemoryMb() const
    {
        return m_peakMemoryMb;
    }

private:
    Record &m_record;
    std::string m_name;
    std::vector<std::string> m_command;
    std::string m_settingsFile;
    std::string m_logFile;
    int m_memoryMb;
    std::recursive_mutex m_mutex;
    pid_t m_pid = 0;
    bool m_isEnded = false;
    bool m_isKilledByTest = false;
    bool m_isKilledForMemory = false;
    bool m_isLimitRaised = false;
    std::chrono::steady_clock::time_point m_startedAt;
    std::chrono::steady_clock::time_point m_restartAt;
    std::atomic<int> m_ownEnds{0};
    std::atomic<long> m_peakMemoryMb{0};
};

struct Tenant {
    std::string name;
    std::string key;
};

/// A small deployment on loopback addresses: the platform's store and its interface for reports, replicas, and the programs of the
/// deploy file as processes of their own.
class System
{
public:
    /// directory: the folder of the case; the record is written there.
    explicit System(const std::string &directory);

    /// Ends all processes and removes their files.
    void end();

    Record &record()
    {
        return m_record;
    }
    Store &store()
    {
        return m_store;
    }

    void addReplica(const ReplicaSettings &settings);
    std::vector<std::unique_ptr<Replica>> &replicas()
    {
        return m_replicas;
    }
    /// All runs of all replicas.
    std::vector<Run> runs() const;

    /// Starts the processes and waits until all gateways are ready and a scheduler leads. Returns false if that takes too long.
    bool start(int gateways, int schedulers);

    std::vector<std::unique_ptr<Process>> &processes()
    {
        return m_processes;
    }
    /// The process that leads, by its record in the store; null if there is none.
    Process *leader();
    /// Has a storage host emptied, as the operator does, and removes it when it is reported as empty. Returns false if that does not
    /// happen in time.
    bool retire(const std::string &host, int timeMs);
    std::uint16_t clientPort(std::size_t gateway) const
    {
        return m_clientPorts[gateway % m_clientPorts.size()];
    }

    static const std::vector<Tenant> &tenants();

    /// Calls of a client at a gateway, recorded.
    Response submit(std::size_t gateway, const Tenant &tenant, const std::string &batch, const std::string &body, int timeoutMs = 4000);
    Response read(std::size_t gateway, const Tenant &tenant, const std::string &batch, std::size_t after);
    Response endBatch(std::size_t gateway, const Tenant &tenant, const std::string &batch);
    /// Begins a stream, or takes up the one that firstAttempt began after the event lastEvent.
    Response stream(std::size_t gateway, const Tenant &tenant, const std::string &attempt, const std::string &firstAttempt, int lastEvent, int timeoutMs);
    Response ping(std::size_t gateway, const Tenant &tenant, const std::string &attempt);

    /// Reads results from a position on until there are n, or the time is over. Reads at all gateways in turn.
    std::vector<nlohmann::json> readUntil(const Tenant &tenant, const std::string &batch, std::size_t n, int timeMs);

    static constexpr const char *Host = "ficu95.example";
    static constexpr const char *BatchPath = "/pufi791/";
    static constexpr const char *StreamPath = "/kite552/";
    static constexpr const char *PingPath = "/lohu930/";
    static constexpr const char *Model = "daka510000";

private:
    void publishConfiguration();
    std::uint16_t freePort();
    bool isReady(std::uint16_t port) const;
    Response send(std::size_t gateway, const Tenant &tenant, Request request, int timeoutMs);

    Record m_record;
    std::string m_directory;
    Store m_store;
    Server m_cloud;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<std::uint16_t> m_clientPorts;
    std::vector<std::uint16_t> m_readinessPorts;
    std::uint16_t m_nextPort;
    std::atomic<bool> m_isOver{false};
    std::thread m_supervisor;
};

void sleepMs(int ms);

}
