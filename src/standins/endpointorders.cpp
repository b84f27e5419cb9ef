#include "standins/endpointorders.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

EndpointOrders::EndpointOrders(bool checksFencing, Milliseconds startTime, ChangeFunction changed)
    : StandIn({{"undeliverable_zones", nlohmann::json::array()}, {"answer_lost", 0}})
    , m_checksFencing(checksFencing)
    , m_startTime(startTime)
    , m_changed(std::move(changed))
{
}

nlohmann::json EndpointOrders::stats() const
{
    return {{"received", m_received},
            {"orders", orders()},
            {"running", m_running},
            {"repeated", m_repeated},
            {"refused", m_refused},
            {"contradicting", m_contradicting}};
}

void EndpointOrders::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (request.path != "/orders") {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.path}));
    } else if (request.method == "GET") {
        responder->respond(jsonResponse(200, {{"orders", orders()}, {"running", m_running}}));
    } else {
        auto answer = accept(request, now);
        if (faults().take("answer_lost")) {
            responder->abort();
        } else {
            responder->respond(std::move(answer));
        }
    }
}

void EndpointOrders::advance(Timestamp now)
{
    for (auto &order : m_orders) {
        const auto zone = order.body.at("zone").get<std::string>();
        const bool start = order.body.at("kind") == "start";
        if (order.done || order.due > now || (start && undeliverable(zone))) {
            continue;
        }
        order.done = true;
        const auto wanted = order.body.at("count").get<std::int64_t>();
        const auto count = start ? wanted : std::min(wanted, m_running[zone]);
        m_running[zone] += start ? count : -count;
        for (std::int64_t n = 0; m_changed && n < count; ++n) {
            m_changed(zone, start ? 1 : -1);
        }
    }
}

HttpResponse EndpointOrders::accept(const HttpRequest &request, Timestamp now)
{
    auto body = parseBody(request);
    const auto id = body.at("order_id").get<std::string>();
    const auto zone = body.at("zone").get<std::string>();
    const auto kind = body.at("kind").get<std::string>();
    const auto count = body.at("count").get<std::int64_t>();
    if ((kind != "start" && kind != "stop") || count < 0) {
        return errorResponse({ResultCode::ValueOutOfRange, "kind is start or stop, count is at least 0"});
    }
    const auto token = body.value("fencing_token", std::uint64_t{0});
    auto &highest = m_highestToken[zone];
    const bool refused = m_checksFencing && token < highest;
    m_received.push_back({{"order_id", id}, {"sender", body.value("sender", "")}, {"epoch", body.value("epoch", std::uint64_t{0})}, {"refused", refused}});
    if (refused) {
        ++m_refused;
        return jsonResponse(409, {{"error", {{"name", "old_fencing_token"}, {"highest", highest}}}});
    }
    highest = std::max(highest, token);
    if (const auto it = m_byId.find(id); it != m_byId.end()) {
        const auto &first = m_orders[it->second].body;
        const bool same = first.at("zone") == zone && first.at("kind") == kind && first.at("count") == count;
        ++(same ? m_repeated : m_contradicting);
        return same ? jsonResponse(200, {{"order_id", id}, {"repeated", true}})
                    : errorResponse({ResultCode::EditInvalid, "order " + id + " was accepted with other contents"});
    }
    m_byId[id] = m_orders.size();
    m_orders.push_back({std::move(body), kind == "start" ? now + m_startTime : now, false});
    return jsonResponse(200, {{"order_id", id}, {"repeated", false}});
}

bool EndpointOrders::undeliverable(const std::string &zone) const
{
    const auto &zones = faults().values().at("undeliverable_zones");
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

nlohmann::json EndpointOrders::orders() const
{
    auto list = nlohmann::json::array();
    for (const auto &order : m_orders) {
        auto row = order.body;
        row["state"] = order.done ? "done" : "pending";
        list.push_back(std::move(row));
    }
    return list;
}

}
