#include "standins/standin.h"

#include <charconv>
#include <utility>

namespace Basilbend
{

namespace Internal
{

nlohmann::json withCommonSwitches(nlohmann::json faults)
{
    faults["slow_ms"] = 0;
    return faults;
}

}

HttpResponse StandIn::jsonResponse(int status, const nlohmann::json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

HttpResponse StandIn::errorResponse(const Error &error)
{
    return jsonResponse(httpStatus(error.code),
                        {{"error",
                          {{"code", static_cast<int>(error.code)},
                           {"name", resultCodeName(error.code)},
                           {"message", error.message},
                           {"execution", executionName(error.execution)}}}});
}

StandIn::StandIn(nlohmann::json faults)
    : m_faults(Internal::withCommonSwitches(std::move(faults)))
{
}

StandIn::~StandIn() = default;

void StandIn::handle(HttpRequest request, std::unique_ptr<HttpResponder> responder, Timestamp now)
{
    if (request.path == "/stats" && request.method == "GET") {
        responder->respond(jsonResponse(200, stats()));
        return;
    }
    if (request.path == "/faults" && request.method == "POST") {
        const auto changes = nlohmann::json::parse(request.body, nullptr, false);
        const auto result = m_faults.set(changes);
        responder->respond(result ? jsonResponse(200, m_faults.values()) : errorResponse(result.error()));
        return;
    }
    if (const Milliseconds delay{m_faults.number("slow_ms")}; delay.count() > 0) {
        m_delayed.push_back({now + delay, std::move(request), std::move(responder)});
        return;
    }
    serveChecked(request, std::move(responder), now);
}

void StandIn::tick(Timestamp now)
{
    while (!m_delayed.empty() && m_delayed.front().due <= now) {
        auto delayed = std::move(m_delayed.front());
        m_delayed.pop_front();
        serveChecked(delayed.request, std::move(delayed.responder), now);
    }
    advance(now);
}

FaultSwitches &StandIn::faults()
{
    return m_faults;
}

const FaultSwitches &StandIn::faults() const
{
    return m_faults;
}

void StandIn::advance(Timestamp)
{
}

void StandIn::serveChecked(HttpRequest &request, std::unique_ptr<HttpResponder> responder, Timestamp now)
{
    try {
        serve(request, responder, now);
    } catch (const nlohmann::json::exception &error) {
        if (responder) {
            responder->respond(errorResponse({ResultCode::MalformedRequest, error.what()}));
        }
    }
}

nlohmann::json StandIn::parseBody(const HttpRequest &request)
{
    return nlohmann::json::parse(request.body);
}

std::uint64_t StandIn::queryNumber(const HttpRequest &request, const std::string &name, std::uint64_t defaultValue)
{
    const auto text = queryText(request, name);
    std::uint64_t value = defaultValue;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? value : defaultValue;
}

std::string StandIn::queryText(const HttpRequest &request, const std::string &name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string() : it->second;
}

}
