#include "entry/samplesink.h"

namespace Basilbend
{

SampleSink::SampleSink(
    ControlLoop &loop, StepService &service, NowFunction now, std::string step, std::uint32_t index, std::shared_ptr<Start> start, EndCallback ended)
    : m_loop(loop)
    , m_service(service)
    , m_now(std::move(now))
    , m_step(std::move(step))
    , m_index(index)
    , m_start(std::move(start))
    , m_ended(std::move(ended))
{
}

bool SampleSink::isStreaming() const
{
    return false;
}

void SampleSink::attemptSent(const AttemptId &attempt, const std::string &endpoint, std::uint64_t version)
{
    m_attempt = attempt;
    m_start->sent = StartedSample{attempt, endpoint, version};
}

void SampleSink::received(std::string_view text, std::uint64_t tokens, std::uint64_t version)
{
    m_loop.post([&service = m_service, step = m_step, index = m_index, attempt = m_attempt, part = std::string(text), tokens, version] {
        service.sampleProgressed(step, index, attempt, part, tokens, version, version != 0);
    });
}

void SampleSink::text(std::string_view /*text*/, std::uint64_t /*tokens*/)
{
}

void SampleSink::finished(const RunResult &result)
{
    m_loop.post([&service = m_service, now = m_now, ended = m_ended, step = m_step, index = m_index, attempt = m_attempt, body = result.body] {
        ended(attempt, body.tokens, std::nullopt);
        service.sampleFinished(step, index, attempt, body, now());
    });
}

void SampleSink::failed(const Error &error)
{
    if (!m_start->sent) {
        // No endpoint was found; the caller of EntryHub::run() sees that nothing was sent.
        return;
    }
    m_loop.post([&service = m_service, now = m_now, ended = m_ended, step = m_step, index = m_index, attempt = m_attempt, code = error.code] {
        ended(attempt, 0, code);
        service.sampleFailed(step, index, attempt, code != ResultCode::VersionUnverified, now());
    });
}

}
