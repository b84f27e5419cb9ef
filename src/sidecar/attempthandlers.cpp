#include "sidecar/attempthandlers.h"

#include "net/errorresponse.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

constexpr std::string_view AttemptsPath = "/internal/attempts/";

std::uint64_t queryNumber(const HttpRequest &request, const std::string &name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? 0 : std::strtoull(it->second.c_str(), nullptr, 10);
}

}

AttemptHandlers::AttemptHandlers(SidecarCore &core, AttemptStreams &streams, std::mutex &mutex, Metrics &metrics, NowFunction now)
    : m_core(core)
    , m_streams(streams)
    , m_mutex(mutex)
    , m_metrics(metrics)
    , m_now(std::move(now))
{
}

bool AttemptHandlers::handle(const HttpRequest &request, std::unique_ptr<HttpResponder> &responder)
{
    const auto &path = request.path;
    const bool isPost = request.method == "POST";
    if (path == "/internal/attempts" && isPost) {
        receive(request, std::move(responder));
    } else if (path == "/internal/attempts/revoke" && isPost) {
        revoke(request, *responder);
    } else if (path.compare(0, Internal::AttemptsPath.size(), Internal::AttemptsPath) == 0 && request.method == "GET") {
        attach(request, std::move(responder));
    } else {
        return false;
    }
    return true;
}

void AttemptHandlers::receive(const HttpRequest &request, std::unique_ptr<HttpResponder> responder)
{
    auto attempt = AttemptRequest::fromText(request.body);
    if (!attempt) {
        m_metrics.count("basilbend_sidecar_malformed_total");
        responder->respond(errorResponse(attempt.error()));
        return;
    }
    const auto now = m_now();
    const auto id = attempt.value().id;
    const std::lock_guard lock(m_mutex);
    const auto received = m_core.receive(std::move(attempt.value()), now);
    respondWithLines(id, 0, received, std::move(responder), now);
}

void AttemptHandlers::attach(const HttpRequest &request, std::unique_ptr<HttpResponder> responder)
{
    const auto id = AttemptId::fromString(std::string_view(request.path).substr(Internal::AttemptsPath.size()));
    if (!id) {
        responder->respond(errorResponse({ResultCode::MalformedRequest, "the path holds no attempt id"}));
        return;
    }
    const auto now = m_now();
    const std::lock_guard lock(m_mutex);
    m_metrics.count("basilbend_sidecar_reattached_total");
    const auto attached = m_core.attach(*id, Internal::queryNumber(request, "incarnation"), now);
    respondWithLines(*id, Internal::queryNumber(request, "from"), attached, std::move(responder), now);
}

void AttemptHandlers::respondWithLines(
    const AttemptId &id, std::size_t from, const Result<void> &result, std::unique_ptr<HttpResponder> responder, Timestamp now)
{
    const auto *lines = m_core.log().lines(id);
    if (!result || lines == nullptr) {
        const auto error = result ? Error{ResultCode::AnswerIncomplete, "the output is no longer kept", Execution::Unknown} : result.error();
        responder->respond(errorResponse(error));
        return;
    }
    m_streams.attach(id, std::move(responder), *lines, from, m_core.log().hasEnded(id), now);
}

void AttemptHandlers::revoke(const HttpRequest &request, HttpResponder &responder)
{
    const auto body = json::parse(request.body, nullptr, false);
    const auto id =
        body.is_object() && body.contains("attempt") && body["attempt"].is_string() ? AttemptId::fromString(body["attempt"].get<std::string>()) : std::nullopt;
    if (!id || !body.contains("sidecar_incarnation") || !body["sidecar_incarnation"].is_number_unsigned()) {
        responder.respond(errorResponse({ResultCode::MalformedRequest, "attempt and sidecar_incarnation are needed"}));
        return;
    }
    const bool cancel = body.contains("cancel") && body["cancel"] == true;
    const std::lock_guard lock(m_mutex);
    const auto answer = m_core.revoke(*id, body["sidecar_incarnation"].get<std::uint64_t>(), cancel, m_now());
    responder.respond({200, json{{"answer", revocationAnswerName(answer)}, {"incarnation", m_core.incarnation()}}.dump(), "application/json", {}});
}

}
