#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "catalog/systemview.h"
#include "endpoints/identitycheck.h"
#include "forwarding/attemptrule.h"
#include "forwarding/endpointpicker.h"
#include "forwarding/requestlimiter.h"
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

/// Dependencies of RewardCalls. All of them live as long as the process.
struct RewardContext {
    EventLoop loop;
    EventLog &log;
    Metrics &metrics;
    WebClient &client;
    SystemView &view;
    Random &random;
    RequestLimiter &requestLimiter;
    std::string zone;
};

struct RewardHooks {
    /// Called when a text has been scored; score is the signature of the endpoint's response.
    std::function<void(const std::string &batch, std::size_t item, std::string score)> onScore;
    /// Called on a 500 response; attempts is the number of these that the item may have.
    std::function<void(const std::string &batch, std::size_t item, int attempts)> onServerError;
    /// Called when a text can be tried again; the receiver must call poll().
    std::function<void()> onRetryDue;
};

/// Sends the finished texts of batches to reward services: one call per text, routed by its host and path, and repeated at
/// other endpoints until one has responded. The functions in rewardorder.h decide the order, the concurrency and the time
/// limits.
class RewardCalls
{
public:
    RewardCalls(RewardContext context, RewardHooks hooks);

    /// Queues an item, which must be in phase Scoring.
    void add(std::shared_ptr<const OpenBatch> batch, std::size_t item);

    /// Cancels the queued and running calls of a batch.
    void drop(const std::string &batch);
    void clear();

    /// Starts the calls that may start now.
    void poll();

    void forgetEndpoint(const std::string &id)
    {
        m_picker.remove(id);
    }

    /// Number of texts that wait for a call or its response.
    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    struct Entry {
        std::shared_ptr<const OpenBatch> batch;
        std::size_t item = 0;
        /// Number of calls so far; timers of earlier calls carry a lower number and are ignored.
        int calls = 0;
        int failures = 0;
        int timeouts = 0;
        /// Endpoints that have failed this text; others are tried first.
        std::set<std::string> failedEndpoints;
        Timestamp notBefore;
        bool isInFlight = false;
        /// Whether it has been logged that no route leads to its service.
        bool isUnroutedLogged = false;
        /// The endpoint that receives the call.
        EndpointRecord endpoint;
        Timestamp sentAt;
        EndpointResponseFields responseFields;
        ClientCall call;
        /// Connections that have carried the request.
        ConnectionHistory connections;
        std::unique_ptr<IdentityCheck> check;
    };

    static const RewardRequest &requestOf(const Entry &entry)
    {
        return *entry.batch->item(entry.item).reward;
    }

    std::vector<std::uint64_t> waitingInOrder() const;
    const RouteRule *routeOf(const Entry &entry) const;
    Timestamp dueAt(const Entry &entry) const;
    /// Endpoints of the service that may take another reward call of the entry now. ready: those that may receive its requests.
    std::vector<const EndpointRecord *> freeEndpoints(std::vector<const EndpointRecord *> ready, const std::string &service) const;
    /// Returns null if the call has to wait for an endpoint that has not failed this text.
    const EndpointRecord *chooseEndpoint(Entry &entry, const std::vector<const EndpointRecord *> &ready, const std::vector<const EndpointRecord *> &free);
    void send(std::uint64_t number, Entry &entry, const RouteRule &route, const EndpointRecord &endpoint);
    CallHooks callHooks(std::uint64_t number);
    void acceptEnd(std::uint64_t number, CallOutcome end);
    /// Finds out whether the endpoint meant to end a response without a length.
    void confirmEnd(std::uint64_t number, Entry &entry);
    void conclude(std::uint64_t number, CallOutcome end);
    void handleTimeout(std::uint64_t entryNumber, int callNumber);
    void updatePicker(const Entry &entry, CallOutcome end, ForwardOutcome outcome);
    void retry(std::uint64_t number, Entry &entry, ForwardOutcome outcome);
    void logFailure(const Entry &entry, std::string_view end) const;
    void logUnroutedReward(Entry &entry) const;

    RewardContext m_context;
    RewardHooks m_hooks;
    EndpointPicker m_picker;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastNumber = 0;
};

}
