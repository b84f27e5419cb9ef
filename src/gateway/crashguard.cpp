#include "gateway/crashguard.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Larger requests are rarely repeated as they are, and their digest takes long.
constexpr std::size_t MaxRememberedBytes = 64 * 1024;

}

CrashGuard::CrashGuard(GatewayContext &context, const RequestMessage &request, const std::string &workspace, Milliseconds maxIsolation)
    : m_context(context)
    , m_request(request)
    , m_workspace(workspace)
    , m_attempt(context.crashes.trials().nextAttempt())
    , m_maxIsolation(maxIsolation)
{
}

CrashGuard::~CrashGuard()
{
    endTrial();
}

const RequestFingerprint &CrashGuard::fingerprint()
{
    if (!m_fingerprint) {
        m_fingerprint = fingerprintOf(m_request, m_workspace);
    }
    return *m_fingerprint;
}

RequestStanding CrashGuard::standing()
{
    const auto &history = m_context.crashes.history();
    return history.isEmpty() ? RequestStanding() : history.standingOf(fingerprint(), m_context.loop.now());
}

TrialChoice CrashGuard::chooseTrial(const std::vector<const EndpointRecord *> &endpoints, const std::set<std::string> &excluded)
{
    const auto now = m_context.loop.now();
    m_trialWantedAt = m_trialWantedAt.value_or(now);
    auto &trials = m_context.crashes.trials();
    const TrialState state{fingerprint(), excluded, m_context.crashes.history().sinceLastCrash(now), now - *m_trialWantedAt};
    const auto choice = Basilbend::chooseTrial(endpoints, state, m_context.picker, trials, now);
    if (choice.endpoint != nullptr) {
        trials.reserve(choice.endpoint->id, fingerprint(), m_attempt, now + m_maxIsolation, choice.step == TrialChoice::Step::Send);
    }
    return choice;
}

void CrashGuard::checkEndpoint(const EndpointRecord &endpoint, CrashedRun run, std::function<void()> callback)
{
    endTrial();
    const EndpointCrash crash{fingerprint(), m_workspace, {endpoint.id, endpoint.startedAtMs}, run};
    m_context.crashes.checkEndpoint(endpoint, [&crashes = m_context.crashes, crash, callback = std::move(callback)](bool hasCrashed) {
        if (hasCrashed) {
            crashes.recordCrash(crash);
        }
        callback();
    });
}

void CrashGuard::recordAnswer()
{
    endTrial();
    if (m_request.body.size() <= MaxRememberedBytes || !m_context.crashes.history().isEmpty()) {
        m_context.crashes.recordAnswer(fingerprint());
    }
}

void CrashGuard::endTrial()
{
    m_context.crashes.trials().release(m_attempt);
}

}
