#pragma once

#include "base/eventloop.h"
#include "catalog/systemview.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "net/metrics.h"
#include "platform/endpointcalls.h"
#include "weights/loadcompletionrule.h"
#include "weights/modelassignment.h"
#include "weights/modelworkload.h"
#include "weights/orderplanner.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Basilbend
{

struct WeightUpdaterHooks {
    /// Whether this process may send orders as leader; checked right before each order is sent.
    std::function<bool()> maySendOrders;
    std::function<std::uint64_t()> fencingToken;
    /// Work of the open and recent batches, by model.
    std::function<std::map<std::string, ModelWorkload>()> workloads;
    /// Number of items that run on the endpoint.
    std::function<int(const std::string &endpoint)> runningItemCount;
    /// Whether batches of the model require all tokens to come from one version.
    std::function<bool(const std::string &model)> needsSingleVersion;
    /// Called when an endpoint serves another version or accepts work again.
    std::function<void()> onEndpointChanged;
};

/// Orders model endpoints to load published weight versions while this process is the leader. Before each order the endpoint is
/// asked for a report. The order carries the number of orders that the endpoint has accepted so far as a precondition, so a
/// duplicate that arrives late has no effect.
class WeightUpdater
{
public:
    WeightUpdater(EventLoop loop, EventLog &log, Metrics &metrics, WebClient &client, SystemView &view, std::string holder, WeightUpdaterHooks hooks);

    /// Starts the orders that are due, at once or a little later. To be called periodically and after each change of versions,
    /// endpoints or batches.
    void startDueOrders();

    /// Drops all pending orders. Endpoints still carry out what they have accepted.
    void stop();

    /// The version that the endpoint serves: the one of a load that should be complete, the one that it confirmed last, or the one
    /// in its registry entry, in this order.
    std::uint64_t servedVersion(const EndpointRecord &endpoint, const std::string &model) const;

    /// Whether the endpoint is loading weights of the model.
    bool isLoading(const std::string &endpoint, const std::string &model) const;

    /// The version that the endpoint should have loaded by now but has not reported yet; zero when servedVersion() returns a reported
    /// version.
    std::uint64_t unreportedVersion(const std::string &endpoint, const std::string &model) const;

    /// Records that the endpoint refused work. If it should have loaded by now, it counts as loading again until it reports.
    void recordWorkRefusal(const std::string &endpoint);

private:
    enum class Phase {
        /// The report that precedes the order has been requested.
        Reporting,
        /// The order has been sent.
        Ordering,
        /// The endpoint has accepted the order or left it unanswered.
        Loading,
    };

    /// An order that has not been confirmed or abandoned.
    struct Order {
        Phase phase = Phase::Reporting;
        EndpointRecord endpoint;
        std::string model;
        std::uint64_t version = 0;
        std::uint64_t expectedOrders = 0;
        Timestamp startedAt;
        AcceptedLoad load;
        std::uint64_t serial = 0;
        ClientCall call;
        int status = 0;
        std::string body;
    };

    /// The version that an endpoint last reported as loaded.
    struct ConfirmedVersion {
        std::string model;
        std::uint64_t version = 0;
        /// Version in the registry at that time; a later change of the registry entry supersedes the confirmation.
        std::uint64_t registryVersion = 0;
        std::int64_t startedAtMs = 0;
    };

    void assignEndpoints(const std::map<std::string, ModelWorkload> &workloads);
    void planAllModels();
    /// The endpoints that may get orders, by the model that they are assigned to.
    std::map<std::string, std::vector<WeightEndpoint>> endpointsByModel() const;
    /// Starts at most maxOrders orders and marks their endpoints as loading. Returns the number of orders.
    int startOrders(const std::string &model, const ModelWeightState &state, std::vector<WeightEndpoint> &endpoints, int maxOrders, bool urgentOnly);
    int freeLoads() const;
    void startOrder(const EndpointRecord &endpoint, const std::string &model, std::uint64_t version);
    void requestReport(const std::string &endpoint);
    void sendOrder(const std::string &endpoint);
    /// Sends a request for the endpoint's order; abandons the order instead if the endpoint's zone is being evacuated.
    void sendRequest(const std::string &endpoint, const RequestMessage &message, const std::function<void(CallOutcome)> &onEnd);
    void handleReport(const std::string &endpoint, CallOutcome outcome);
    void handleOrderAnswer(const std::string &endpoint, CallOutcome outcome);
    void scheduleReport(const std::string &endpoint, Milliseconds pause);
    void confirmVersion(Order &order, std::uint64_t version);
    void abandonOrder(const std::string &endpoint, const char *why);
    Order *findOrder(const std::string &endpoint, std::uint64_t serial);

    EventLoop m_loop;
    EventLog &m_log;
    Metrics &m_metrics;
    WebClient &m_client;
    SystemView &m_view;
    std::string m_holder;
    WeightUpdaterHooks m_hooks;
    ModelAssignment m_assignment;
    std::map<std::string, Order> m_orders;
    std::map<std::string, ConfirmedVersion> m_confirmed;
    std::map<std::string, Timestamp> m_pausedUntil;
    Timestamp m_lastPlanAt;
    bool m_isPlanScheduled = false;
    std::uint64_t m_lastSerial = 0;
};

}
