#pragma once

#include "standins/standin.h"

#include <functional>
#include <map>
#include <vector>

namespace Basilbend
{

/// Stand-in for the platform interface that starts and stops endpoints. Orders are idempotent by order id; endpoints run
/// after their start-up time. Records every sender and epoch.
///
/// Fault switches: undeliverable_zones (a list of zones whose starts stay pending), answer_lost (the next n orders take
/// effect, then the connection is closed without an answer).
class EndpointOrders : public StandIn
{
public:
    /// Told about each endpoint that starts or stops: the change is 1 or -1.
    using ChangeFunction = std::function<void(const std::string &zone, int change)>;

    /// An interface that checks fencing tokens refuses a zone's old token with status 409; the other kind ignores tokens.
    EndpointOrders(bool checksFencing, Milliseconds startTime, ChangeFunction changed);

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;
    void advance(Timestamp now) override;

private:
    struct Order {
        nlohmann::json body;
        Timestamp due;
        bool done = false;
    };
    HttpResponse accept(const HttpRequest &request, Timestamp now);
    bool undeliverable(const std::string &zone) const;
    nlohmann::json orders() const;

    bool m_checksFencing;
    Milliseconds m_startTime;
    ChangeFunction m_changed;
    std::vector<Order> m_orders;
    std::map<std::string, std::size_t> m_byId;
    std::map<std::string, std::uint64_t> m_highestToken;
    std::map<std::string, std::int64_t> m_running;
    nlohmann::json m_received = nlohmann::json::array();
    std::uint64_t m_repeated = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_contradicting = 0;
};

}
