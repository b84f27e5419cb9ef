#pragma once

#include "base/eventloop.h"
#include "catalog/systemview.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "net/metrics.h"
#include "platform/endpointcalls.h"
#include "weights/loadrule.h"
#include "weights/modelassignment.h"
#include "weights/modelload.h"
#include "weights/orderplanner.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Basilbend
{

struct WeightRollerHooks {
    /// Checked right before each order is sent.
    std::function<bool()> mayAct;
    std::function<std::uint64_t()> fencingToken;
    /// What the open and recent batches of a model ask of its endpoints.
    std::function<std::map<std::string, ModelLoad>()> loads;
    std::function<int(const std::string &endpoint)> runningAt;
    /// Whether batches of the model need all tokens from one version.
    std::function<bool(const std::string &model)> needsSingleVersion;
    /// An endpoint serves another version, or takes work again.
    std::function<void()> onChanged;
};

/// Moves model endpoints to published weight versions while this process leads. Each order is preceded by a report of the
/// endpoint, and names how many orders the endpoint has accepted: a copy that arrives late then does nothing.
class WeightRoller
{
public:
    WeightRoller(EventLoop loop, EventLog &log, Metrics &metrics, WebClient &client, SystemView &view, std::string holder, WeightRollerHooks hooks);

    /// Looks for orders to give. To be called from time to time and when something has changed.
    void poll();

    /// Ends all orders under way; what endpoints have accepted goes on there.
    void stop();

    /// The version that an endpoint serves: what it confirmed last, or its entry in the registry.
    std::uint64_t versionAt(const EndpointRecord &endpoint, const std::string &model) const;

    /// Whether the endpoint is changing the weights of the model.
    bool isLoading(const std::string &endpoint, const std::string &model) const;

    /// The version that the endpoint should have loaded by now but has not reported yet; zero: what versionAt() says was reported.
    std::uint64_t unreportedVersion(const std::string &endpoint, const std::string &model) const;

    /// The endpoint refused work; one that should have loaded by now is waited for until it reports.
    void noteRefused(const std::string &endpoint);

private:
    enum class Phase {
        Reporting,
        Ordering,
        /// The order was accepted, or may have been.
        Loading,
    };

    /// One order on its way.
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

    struct Confirmed {
        std::string model;
        std::uint64_t version = 0;
        /// Version in the registry when it was confirmed; a later change there replaces the confirmation.
        std::uint64_t recorded = 0;
        std::int64_t startedAtMs = 0;
    };

    void divideEndpoints(const std::map<std::string, ModelLoad> &loads);
    void pollModel(const std::string &model, std::uint64_t published, const ModelLoad &load, bool urgentOnly);
    int freeLoads() const;
    void begin(const EndpointRecord &endpoint, const std::string &model, std::uint64_t version);
    void report(const std::string &endpoint);
    void sendOrder(const std::string &endpoint);
    void call(const std::string &endpoint, const RequestMessage &message, const std::function<void(CallOutcome)> &onEnd);
    void acceptReport(const std::string &endpoint, CallOutcome end);
    void acceptOrderAnswer(const std::string &endpoint, CallOutcome end);
    void checkLater(const std::string &endpoint, Milliseconds pause);
    void confirm(Order &order, std::uint64_t version);
    void giveUp(const std::string &endpoint, const char *why);
    Order *find(const std::string &endpoint, std::uint64_t serial);

    EventLoop m_loop;
    EventLog &m_log;
    Metrics &m_metrics;
    WebClient &m_client;
    SystemView &m_view;
    std::string m_holder;
    WeightRollerHooks m_hooks;
    ModelAssignment m_assignment;
    std::map<std::string, Order> m_orders;
    std::map<std::string, Confirmed> m_confirmed;
    std::map<std::string, Timestamp> m_pausedUntil;
    std::uint64_t m_lastSerial = 0;
};

}
