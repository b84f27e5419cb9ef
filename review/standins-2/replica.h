#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Review
{

struct ReplicaSettings {
    std::string id;
    std::string service;
    /// The model of an engine; empty for a plain service.
    std::string model;
    int slots = 12;
    int events = 4;
    int eventIntervalMs = 20;
    /// Version of its software, on which the text depends.
    std::string softwareVersion = "v1";
};

/// One request that a replica began to run.
struct Run {
    std::string replica;
    std::string attempt;
    std::string tenant;
    std::string target;
    std::string body;
    std::string lastEventId;
    /// Whether the replica works on it no more, and since when.
    bool hasEnded = false;
    std::chrono::steady_clock::time_point endedAt;
    /// Whether its whole answer was sent.
    bool isFinished = false;
};

/// A sound replica: an engine that streams events, or a plain service. It registers itself in the store and writes there at each
/// heartbeat.
class Replica
{
public:
    Replica(Record &record, Store &store, ReplicaSettings settings);

    static constexpr const char *LengthMark = ", events: ";

    /// Lets the replica leave: it reports that it drains, serves on for some seconds and ends.
    void leave();

    std::vector<Run> runs() const;
    int running() const
    {
        return m_running;
    }
    int slots() const
    {
        return m_settings.slots;
    }

    /// The data of one event of the text that belongs to a request.
    std::string eventData(const std::string &body, int event) const;
    /// Number of events of the text that belongs to a request: what stands after LengthMark in its body, or that of the settings.
    int eventCount(const std::string &body) const;
    /// The whole text that belongs to a request.
    std::string wholeText(const std::string &body) const;

private:
    void registerPeriodically();
    void writeEntry();
    bool handle(Channel &channel, const Request &request);
    bool refuse(Channel &channel, int status, const Request &request) const;
    bool report(Channel &channel) const;
    bool run(Channel &channel, const Request &request);
    bool stream(Channel &channel, const Request &request, const Fields &fields);

    Record &m_record;
    Store &m_store;
    ReplicaSettings m_settings;
    std::int64_t m_startedAtMs;
    std::atomic<int> m_running{0};
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isDown{false};
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    Server m_server;
};

}
