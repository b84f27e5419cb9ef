#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "catalog/systemview.h"
#include "forwarding/attemptrule.h"
#include "forwarding/endpointpicker.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "net/metrics.h"
#include "platform/endpointcalls.h"
#include "scheduling/openbatch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// What reward calls need of their process. All of it lives as long as the process.
struct RewardContext {
    EventLoop loop;
    EventLog &log;
    Metrics &metrics;
    WebClient &client;
    SystemView &view;
    Random &random;
    std::string zone;
};

struct RewardHooks {
    /// The endpoint that scored the text has signed its answer.
    std::function<void(const std::string &batch, std::size_t item, std::string score)> onScore;
    /// The endpoint answered with 500; attempts: how many of these the item may have.
    std::function<void(const std::string &batch, std::size_t item, int attempts)> onServerError;
    /// A text can be offered again; poll() is to be called.
    std::function<void()> onRetryDue;
};

/// Has the finished texts of batches scored: one call for each text, through the route of its host and path, repeated at
/// other endpoints until one has answered. Which texts go first, how many at once and for how long is decided in
/// rewardorder.h.
class RewardCalls
{
public:
    RewardCalls(RewardContext context, RewardHooks hooks);

    /// Queues the item, whose phase is Scoring.
    void add(std::shared_ptr<const OpenBatch> batch, std::size_t item);

    /// Cancels what is queued or under way for a batch.
    void drop(const std::string &batch);
    void clear();

    /// Starts the calls that may start now.
    void poll();

    void noteEndpointGone(const std::string &id)
    {
        m_picker.remove(id);
    }

    /// Texts that wait for a call or its answer.
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry {
        std::shared_ptr<const OpenBatch> batch;
        std::size_t item = 0;
        /// Calls so far; tells late timers of earlier ones.
        int calls = 0;
        int failures = 0;
        int unanswered = 0;
        /// Endpoints that have failed it; another one is asked first.
        std::set<std::string> failedAt;
        Timestamp notBefore;
        bool isOpen = false;
        /// It has been logged that no route leads to its service.
        bool isUnroutedLogged = false;
        std::string endpoint;
        /// The start of the endpoint that is asked.
        std::int64_t endpointStartedAtMs = 0;
        Timestamp sentAt;
        EndpointResponseFields evidence;
        ClientCall call;
    };

    static const RewardRequest &requestOf(const Entry &entry)
    {
        return *entry.batch->item(entry.item).reward;
    }

    std::vector<std::uint64_t> waitingInOrder() const;
    const RouteRule *routeOf(const Entry &entry) const;
    Timestamp dueAt(const Entry &entry) const;
    /// Endpoints that may take another reward call now.
    std::vector<const EndpointRecord *> freeEndpoints(const std::string &service) const;
    /// Null when the call has to wait for an endpoint that has not failed it.
    const EndpointRecord *chooseEndpoint(Entry &entry, const std::string &service, const std::vector<const EndpointRecord *> &free);
    void send(std::uint64_t number, Entry &entry, const RouteRule &route, const EndpointRecord &endpoint);
    CallHooks callHooks(std::uint64_t number);
    void acceptEnd(std::uint64_t number, CallEnd end);
    void acceptTimeout(std::uint64_t number, int call);
    void notePace(const Entry &entry, CallEnd end, ForwardOutcome outcome);
    void retry(std::uint64_t number, Entry &entry, ForwardOutcome outcome);
    void logFailure(const Entry &entry, std::string_view end) const;
    void logUnrouted(Entry &entry) const;

    RewardContext m_context;
    RewardHooks m_hooks;
    EndpointPicker m_picker;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastNumber = 0;
};

}
