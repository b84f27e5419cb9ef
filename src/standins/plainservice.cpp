#include "standins/plainservice.h"

#include <utility>

namespace Basilbend
{

namespace Internal
{

// Silent connections are kept open without limit by real services; the stand-in keeps the latest ones.
constexpr std::size_t MaxSilent = 100;

std::string headerText(const HttpRequest &request, const char *name)
{
    const auto it = request.headers.find(name);
    return it == request.headers.end() ? std::string() : it->second;
}

std::string requestId(const HttpRequest &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object() && body.contains("request_id") && body["request_id"].is_string()) {
        return body["request_id"].get<std::string>();
    }
    return headerText(request, "x-request-id");
}

}

PlainService::PlainService()
    : StandIn({{"fail_before", 0}, {"fail_after", 0}, {"silent", 0}, {"work_ms", 0}})
{
}

nlohmann::json PlainService::stats() const
{
    return {{"executions", m_executions}, {"executions_by_workspace", m_executionsByWorkspace}, {"requests_with_key", m_withKey}};
}

void PlainService::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (faults().take("fail_before")) {
        responder->abort();
        return;
    }
    const auto id = Internal::requestId(request);
    const auto runs = ++m_executions[id];
    ++m_executionsByWorkspace[Internal::headerText(request, "x-workspace")];
    m_withKey += request.headers.count("authorization") + request.headers.count("x-api-key");
    if (faults().take("fail_after")) {
        responder->abort();
    } else if (faults().take("silent")) {
        m_silent.push_back(std::move(responder));
        if (m_silent.size() > Internal::MaxSilent) {
            m_silent.pop_front();
        }
    } else {
        auto answer = jsonResponse(200, {{"request_id", id}, {"method", request.method}, {"path", request.path}, {"body", request.body}, {"runs", runs}});
        m_working.push_back({now + Milliseconds(faults().number("work_ms")), std::move(answer), std::move(responder)});
        advance(now);
    }
}

void PlainService::advance(Timestamp now)
{
    std::deque<Working> later;
    for (auto &working : m_working) {
        if (working.due <= now) {
            working.responder->respond(std::move(working.answer));
        } else {
            later.push_back(std::move(working));
        }
    }
    m_working = std::move(later);
}

}
