#include "forwarding/crashhistory.h"

#include <algorithm>
#include <iterator>

namespace Basilbend
{

namespace
{

/// Evidence that a crash gives, and the evidence that puts a request under quarantine.
constexpr int SharedTrialEvidence = 1;
constexpr int IsolatedTrialEvidence = 2;
constexpr int QuarantineEvidence = 2;

int evidenceOf(CrashedRun run)
{
    switch (run) {
    case CrashedRun::Regular:
        return 0;
    case CrashedRun::SharedTrial:
        return SharedTrialEvidence;
    case CrashedRun::IsolatedTrial:
        return IsolatedTrialEvidence;
    }
    return 0;
}

bool isSameStart(const EndpointStart &a, const EndpointStart &b)
{
    return a.id == b.id && a.startedAtMs == b.startedAtMs;
}

}

const char *crashedRunName(CrashedRun run)
{
    switch (run) {
    case CrashedRun::Regular:
        return "regular";
    case CrashedRun::SharedTrial:
        return "shared_trial";
    case CrashedRun::IsolatedTrial:
        return "isolated_trial";
    }
    return "unknown";
}

bool CrashHistory::record(const EndpointCrash &crash, Timestamp now)
{
    auto it = m_requests.find(crash.request);
    if (it == m_requests.end()) {
        makeRoom(crash.workspace);
        it = m_requests.emplace(crash.request, Request{crash.workspace, {}}).first;
        ++m_requestsOfWorkspace[crash.workspace];
    }
    auto &crashes = it->second.crashes;
    const auto known =
        std::find_if(crashes.begin(), crashes.end(), [&crash](const Crash &candidate) { return isSameStart(candidate.endpoint, crash.endpoint); });
    if (known != crashes.end()) {
        return false;
    }
    crashes.push_back({crash.endpoint, crash.run, now});
    m_lastCrashAt = now;
    return true;
}

void CrashHistory::remove(const RequestFingerprint &request, const EndpointStart &endpoint)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        return;
    }
    auto &crashes = it->second.crashes;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(), [&endpoint](const Crash &crash) { return isSameStart(crash.endpoint, endpoint); }),
                  crashes.end());
    if (crashes.empty()) {
        clear(request);
    }
}

std::vector<EndpointStart> CrashHistory::clear(const RequestFingerprint &request)
{
    std::vector<EndpointStart> endpoints;
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        return endpoints;
    }
    for (const auto &crash : it->second.crashes) {
        endpoints.push_back(crash.endpoint);
    }
    const auto count = m_requestsOfWorkspace.find(it->second.workspace);
    if (--count->second == 0) {
        m_requestsOfWorkspace.erase(count);
    }
    m_requests.erase(it);
    return endpoints;
}

RequestStanding CrashHistory::standingOf(const RequestFingerprint &request, Timestamp now) const
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        return {};
    }
    int evidence = 0;
    Timestamp lastTrialAt;
    for (const auto &crash : it->second.crashes) {
        if (crash.run != CrashedRun::Regular) {
            evidence += evidenceOf(crash.run);
            lastTrialAt = std::max(lastTrialAt, crash.at);
        }
    }
    RequestStanding standing{RequestStanding::Kind::Suspected, Milliseconds(0)};
    if (evidence >= QuarantineEvidence) {
        standing.quarantinedFor = std::max(Milliseconds(0), lastTrialAt + quarantineFor(evidence) - now);
    }
    if (standing.quarantinedFor.count() > 0) {
        standing.kind = RequestStanding::Kind::Quarantined;
    }
    return standing;
}

Milliseconds CrashHistory::quarantineFor(int evidence)
{
    auto span = FirstQuarantine;
    for (int failedTrials = evidence / QuarantineEvidence; failedTrials > 1 && span < Retention; --failedTrials) {
        span *= QuarantineGrowth;
    }
    return std::min(span, Retention);
}

void CrashHistory::removeExpired(Timestamp now)
{
    std::vector<RequestFingerprint> expired;
    for (auto &[fingerprint, request] : m_requests) {
        auto &crashes = request.crashes;
        crashes.erase(std::remove_if(crashes.begin(), crashes.end(), [now](const Crash &crash) { return now - crash.at >= Retention; }), crashes.end());
        if (crashes.empty()) {
            expired.push_back(fingerprint);
        }
    }
    for (const auto &fingerprint : expired) {
        clear(fingerprint);
    }
}

void CrashHistory::makeRoom(const std::string &workspace)
{
    const auto count = m_requestsOfWorkspace.find(workspace);
    if (count != m_requestsOfWorkspace.end() && count->second >= MaxRequestsPerWorkspace) {
        evictOne(&workspace);
    } else if (m_requests.size() >= MaxRequests) {
        evictOne(nullptr);
    }
}

void CrashHistory::evictOne(const std::string *workspace)
{
    const auto isProven = [](const Request &request) {
        int evidence = 0;
        for (const auto &crash : request.crashes) {
            evidence += evidenceOf(crash.run);
        }
        return evidence >= QuarantineEvidence;
    };
    const auto goesBefore = [&isProven](const Request &a, const Request &b) {
        return std::make_pair(isProven(a), a.crashes.back().at) < std::make_pair(isProven(b), b.crashes.back().at);
    };
    auto evicted = m_requests.end();
    for (auto it = m_requests.begin(); it != m_requests.end(); ++it) {
        const bool isCandidate = workspace == nullptr || it->second.workspace == *workspace;
        if (isCandidate && (evicted == m_requests.end() || goesBefore(it->second, evicted->second))) {
            evicted = it;
        }
    }
    if (evicted != m_requests.end()) {
        clear(RequestFingerprint(evicted->first));
    }
}

}
