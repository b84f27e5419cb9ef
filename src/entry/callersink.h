#pragma once

#include "entry/completionanswer.h"
#include "net/httpserver.h"

#include <atomic>
#include <functional>
#include <memory>

namespace Basilbend
{

/// Sends the output of a request to its caller. The end callback gets Ok or the code of the failure, once.
class CallerSink : public RunSink
{
public:
    using EndCallback = std::function<void(ResultCode, const RunResult *)>;

    /// While leaving is true, answers ask the caller to close the connection. It must outlive the sink.
    CallerSink(std::unique_ptr<HttpResponder> responder, std::string requestId, std::string workspace, const std::atomic<bool> &leaving, EndCallback ended);

    /// True when the caller has left or leaves too many bytes untaken; the request is then to be cancelled.
    bool isLost(std::size_t maxPendingBytes) const;

    /// Keeps a silent stream alive; called every so often.
    virtual void tick(Timestamp now, Milliseconds keepAlivePeriod);

    void failed(const Error &error) override;

    /// Closes the connection at once.
    void abort();

protected:
    std::vector<std::pair<std::string, std::string>> headers() const;
    HttpResponder &responder();
    void end(ResultCode code, const RunResult *result);

private:
    std::unique_ptr<HttpResponder> m_responder;
    std::string m_requestId;
    std::string m_workspace;
    const std::atomic<bool> &m_leaving;
    EndCallback m_ended;
};

/// A completion, whole or as a stream of server-sent events. A stream that fails ends with an error event and without
/// "[DONE]", so that it is never taken for a whole answer.
class CompletionSink : public CallerSink
{
public:
    CompletionSink(
        std::unique_ptr<HttpResponder> responder, CompletionAnswer answer, bool stream, bool includeUsage, const std::atomic<bool> &leaving, EndCallback ended);

    bool isStreaming() const override;
    void text(std::string_view text, std::uint64_t tokens) override;
    void finished(const RunResult &result) override;
    void failed(const Error &error) override;
    void tick(Timestamp now, Milliseconds keepAlivePeriod) override;

private:
    void beginOnce();

    CompletionAnswer m_answer;
    bool m_stream;
    bool m_includeUsage;
    bool m_begun = false;
    bool m_wroteSinceTick = true;
    Timestamp m_lastWrite;
};

/// The answer of a plain service.
class ServiceSink : public CallerSink
{
public:
    using CallerSink::CallerSink;

    bool isStreaming() const override;
    void text(std::string_view text, std::uint64_t tokens) override;
    void finished(const RunResult &result) override;
};

}
