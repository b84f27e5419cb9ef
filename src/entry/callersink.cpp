#include "entry/callersink.h"

#include "net/attemptline.h"

namespace Basilbend
{

namespace Internal
{

std::string versionsHeader(const VersionList &versions)
{
    std::string text;
    for (const auto &segment : versions) {
        text += (text.empty() ? "" : ",") + std::to_string(segment.version);
    }
    return text;
}

}

CallerSink::CallerSink(
    std::unique_ptr<HttpResponder> responder, std::string requestId, std::string workspace, const std::atomic<bool> &leaving, EndCallback ended)
    : m_responder(std::move(responder))
    , m_requestId(std::move(requestId))
    , m_workspace(std::move(workspace))
    , m_leaving(leaving)
    , m_ended(std::move(ended))
{
}

bool CallerSink::isLost(std::size_t maxPendingBytes) const
{
    return !m_responder->isOpen() || m_responder->pendingBytes() > maxPendingBytes;
}

void CallerSink::abort()
{
    m_responder->abort();
}

void CallerSink::tick(Timestamp /*now*/, Milliseconds /*keepAlivePeriod*/)
{
}

std::vector<std::pair<std::string, std::string>> CallerSink::headers() const
{
    std::vector<std::pair<std::string, std::string>> headers{{"X-Request-Id", m_requestId}};
    if (!m_workspace.empty()) {
        headers.emplace_back("X-Workspace", m_workspace);
    }
    if (m_leaving) {
        headers.emplace_back("Connection", "close");
    }
    return headers;
}

HttpResponder &CallerSink::responder()
{
    return *m_responder;
}

void CallerSink::end(ResultCode code, const RunResult *result)
{
    if (m_ended) {
        const auto ended = std::move(m_ended);
        m_ended = nullptr;
        ended(code, result);
    }
}

void CallerSink::failed(const Error &error)
{
    auto answerHeaders = headers();
    if (error.retryAfter.count() > 0) {
        answerHeaders.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count()));
    }
    m_responder->respond({httpStatus(error.code), errorBody(error), "application/json", std::move(answerHeaders)});
    end(error.code, nullptr);
}

CompletionSink::CompletionSink(
    std::unique_ptr<HttpResponder> responder, CompletionAnswer answer, bool stream, bool includeUsage, const std::atomic<bool> &leaving, EndCallback ended)
    : CallerSink(std::move(responder), answer.requestId(), answer.workspace(), leaving, std::move(ended))
    , m_answer(std::move(answer))
    , m_stream(stream)
    , m_includeUsage(includeUsage)
{
}

bool CompletionSink::isStreaming() const
{
    return m_stream;
}

void CompletionSink::beginOnce()
{
    if (!m_begun) {
        m_begun = true;
        auto streamHeaders = headers();
        streamHeaders.emplace_back("Cache-Control", "no-cache");
        responder().begin(200, "text/event-stream", streamHeaders);
        responder().write(m_answer.firstEvent());
    }
    m_wroteSinceTick = true;
}

void CompletionSink::text(std::string_view text, std::uint64_t /*tokens*/)
{
    beginOnce();
    responder().write(m_answer.textEvent(text));
}

void CompletionSink::finished(const RunResult &result)
{
    if (m_stream) {
        beginOnce();
        responder().write(m_answer.lastEvents(result, m_includeUsage));
        responder().end();
    } else {
        auto answerHeaders = headers();
        answerHeaders.emplace_back("X-Weight-Versions", Internal::versionsHeader(result.body.versions));
        responder().respond({200, m_answer.whole(result), "application/json", std::move(answerHeaders)});
    }
    end(ResultCode::Ok, &result);
}

void CompletionSink::failed(const Error &error)
{
    if (!m_begun) {
        CallerSink::failed(error);
        return;
    }
    responder().write(CompletionAnswer::errorEvent(error));
    responder().end();
    end(error.code, nullptr);
}

void CompletionSink::tick(Timestamp now, Milliseconds keepAlivePeriod)
{
    if (m_wroteSinceTick) {
        m_wroteSinceTick = false;
        m_lastWrite = now;
    } else if (m_stream && now - m_lastWrite >= keepAlivePeriod) {
        beginOnce();
        responder().write(CompletionAnswer::keepAliveComment());
    }
}

bool ServiceSink::isStreaming() const
{
    return false;
}

void ServiceSink::text(std::string_view /*text*/, std::uint64_t /*tokens*/)
{
}

void ServiceSink::finished(const RunResult &result)
{
    HttpResponse response;
    response.status = result.status;
    response.body = result.answer;
    response.contentType = "application/octet-stream";
    response.headers = headers();
    for (const auto &[name, value] : result.headers) {
        if (name == "content-type") {
            response.contentType = value;
        } else if (name != "x-request-id" && name != "x-workspace") {
            response.headers.emplace_back(name, value);
        }
    }
    responder().respond(std::move(response));
    end(ResultCode::Ok, &result);
}

}
