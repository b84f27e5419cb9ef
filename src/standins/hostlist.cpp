#include "standins/hostlist.h"

#include <utility>

namespace Basilbend
{

HostList::HostList(Milliseconds lag)
    : StandIn(nlohmann::json::object())
    , m_lag(lag)
{
}

nlohmann::json HostList::stats() const
{
    return {{"calls", m_calls}, {"visible", m_visible.size()}, {"pending", m_pending.size()}};
}

void HostList::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (request.path != "/hosts") {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.path}));
        return;
    }
    if (request.method == "POST") {
        const auto body = parseBody(request);
        const auto state = body.at("state").get<std::string>();
        if (state != "live" && state != "leaving" && state != "gone") {
            responder->respond(errorResponse({ResultCode::ValueOutOfRange, "state is live, leaving or gone"}));
            return;
        }
        m_pending.push_back({now + m_lag, body.at("address").get<std::string>(), body.value("zone", ""), state});
        responder->respond(jsonResponse(200, {{"accepted", true}}));
        return;
    }
    ++m_calls;
    advance(now);
    auto hosts = nlohmann::json::array();
    for (const auto &[address, host] : m_visible) {
        hosts.push_back({{"address", address}, {"zone", host.zone}, {"state", host.state}});
    }
    responder->respond(jsonResponse(200, {{"hosts", std::move(hosts)}}));
}

void HostList::advance(Timestamp now)
{
    std::vector<Change> later;
    for (auto &change : m_pending) {
        if (change.due > now) {
            later.push_back(std::move(change));
        } else if (change.state == "gone") {
            m_visible.erase(change.address);
        } else {
            m_visible[change.address] = change;
        }
    }
    m_pending = std::move(later);
}

}
