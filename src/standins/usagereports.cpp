#include "standins/usagereports.h"

namespace Basilbend
{

UsageReports::UsageReports()
    : StandIn({{"answer_lost", 0}})
{
}

nlohmann::json UsageReports::stats() const
{
    return {{"windows", m_windows}, {"received", m_received}, {"repeated", m_repeated}, {"contradicting", m_contradicting}};
}

void UsageReports::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (request.path != "/usage-reports" || request.method != "POST") {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.method + " " + request.path}));
        return;
    }
    const auto body = parseBody(request);
    const auto &window = body.at("window");
    const auto id = window.is_string() ? window.get<std::string>() : window.dump();
    const auto &figures = body.at("figures");
    m_received.push_back({{"window", id},
                          {"sender", body.value("sender", "")},
                          {"epoch", body.value("epoch", std::uint64_t{0})},
                          {"figures", figures},
                          {"at", now.milliseconds()}});
    const auto [it, first] = m_windows.emplace(id, figures);
    const bool same = it->second == figures;
    if (!first) {
        ++(same ? m_repeated : m_contradicting);
    }
    if (faults().take("answer_lost")) {
        responder->abort();
    } else if (same) {
        responder->respond(jsonResponse(200, {{"window", id}, {"repeated", !first}}));
    } else {
        responder->respond(errorResponse({ResultCode::RevisionConflict, "window " + id + " was reported with other figures"}));
    }
}

}
