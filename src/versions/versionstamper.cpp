#include "versions/versionstamper.h"

#include <algorithm>

namespace Basilbend
{

VersionStamper::VersionStamper(bool engineTagsChunks)
    : m_tagged(engineTagsChunks)
{
}

std::uint64_t VersionStamper::beginQuery()
{
    return ++m_lastQuery;
}

std::vector<VersionStamper::Resolution> VersionStamper::queryAnswered(std::uint64_t query, std::uint64_t version, bool loading)
{
    if (loading || query < m_firstValidQuery || query > m_lastQuery) {
        return {};
    }
    if (m_target && m_confirmed && version == *m_confirmed && !m_swapFailed) {
        // Either the order has not reached the engine yet or its report is late; only a failed order ends the swap here.
        return {};
    }
    const bool expected = !m_confirmed || version == *m_confirmed || (m_target && version == *m_target);
    auto resolutions = resolve(query, version, !expected);
    if (!expected) {
        ++m_contradictions;
    }
    m_confirmed = version;
    m_target.reset();
    m_inRotation = true;
    return resolutions;
}

Result<void> VersionStamper::beginSwap(std::uint64_t version)
{
    if (m_target) {
        return Error{ResultCode::SwapFailed, "a swap is in progress"};
    }
    if (m_confirmed && version <= *m_confirmed) {
        return Error{ResultCode::SwapFailed, "the engine has this version or a newer one"};
    }
    const auto isOpen = [](const auto &item) { return !item.second.failed; };
    if (!m_tagged && std::any_of(m_streams.begin(), m_streams.end(), isOpen)) {
        return Error{ResultCode::SwapFailed, "streams are open on an engine that does not tag its output"};
    }
    m_target = version;
    m_swapFailed = false;
    m_firstValidQuery = m_lastQuery + 1;
    return boost::outcome_v2::success();
}

void VersionStamper::swapFailed()
{
    m_swapFailed = true;
    m_inRotation = false;
    m_firstValidQuery = m_lastQuery + 1;
}

void VersionStamper::engineLost()
{
    for (auto &[attempt, stream] : m_streams) {
        stream.failed = true;
    }
    m_confirmed.reset();
    m_target.reset();
    m_inRotation = false;
    m_firstValidQuery = m_lastQuery + 1;
}

Result<void> VersionStamper::open(const AttemptId &attempt, std::uint64_t minimumVersion)
{
    if (!m_inRotation || !m_confirmed) {
        return Error{ResultCode::VersionUnverified, "the weight version of the engine is not confirmed"};
    }
    if (*m_confirmed < minimumVersion) {
        return Error{ResultCode::SampleStale, "the weights of the engine are older than the request allows"};
    }
    if (!m_tagged && m_target) {
        return Error{ResultCode::VersionUnverified, "a swap is in progress on an engine that does not tag its output"};
    }
    m_streams[attempt] = Stream{};
    return boost::outcome_v2::success();
}

VersionStamper::Check VersionStamper::chunk(const AttemptId &attempt, std::optional<std::uint64_t> tag, std::uint64_t tokens)
{
    const auto it = m_streams.find(attempt);
    if (it == m_streams.end() || it->second.failed) {
        return Check::Contradiction;
    }
    auto &stream = it->second;
    const auto version = m_tagged ? tag : m_confirmed;
    const bool known = version && m_confirmed && (*version == *m_confirmed || (m_target && *version == *m_target));
    const bool backwards = known && !stream.versions.empty() && *version < stream.versions.back().version;
    if (!known || backwards) {
        return contradict(stream);
    }
    appendVersion(stream.versions, *version, stream.tokens);
    stream.tokens += tokens;
    stream.inDoubt = stream.inDoubt || *version != *m_confirmed || !m_inRotation || !m_tagged;
    return stream.inDoubt ? Check::Provisional : Check::Verified;
}

VersionStamper::Check VersionStamper::finish(const AttemptId &attempt)
{
    const auto it = m_streams.find(attempt);
    if (it == m_streams.end() || it->second.failed) {
        return Check::Contradiction;
    }
    it->second.ended = true;
    it->second.provedFrom = m_lastQuery + 1;
    return it->second.inDoubt ? Check::Provisional : Check::Verified;
}

void VersionStamper::close(const AttemptId &attempt)
{
    m_streams.erase(attempt);
}

VersionList VersionStamper::versions(const AttemptId &attempt) const
{
    const auto it = m_streams.find(attempt);
    return it == m_streams.end() ? VersionList{} : it->second.versions;
}

std::optional<std::uint64_t> VersionStamper::confirmedVersion() const
{
    return m_inRotation ? m_confirmed : std::nullopt;
}

bool VersionStamper::inRotation() const
{
    return m_inRotation;
}

bool VersionStamper::isSwapping() const
{
    return m_target.has_value();
}

std::size_t VersionStamper::openStreams() const
{
    return m_streams.size();
}

std::uint64_t VersionStamper::contradictions() const
{
    return m_contradictions;
}

VersionStamper::Check VersionStamper::contradict(Stream &stream)
{
    stream.failed = true;
    ++m_contradictions;
    m_inRotation = false;
    m_firstValidQuery = m_lastQuery + 1;
    return Check::Contradiction;
}

bool VersionStamper::proves(const Stream &stream, std::uint64_t version, bool changedUnasked) const
{
    if (stream.failed || changedUnasked) {
        return false;
    }
    if (!m_tagged) {
        return m_confirmed && version == *m_confirmed;
    }
    // A tag of the target is proved only when the engine confirms the target.
    return stream.versions.empty() || stream.versions.back().version <= version;
}

std::vector<VersionStamper::Resolution> VersionStamper::resolve(std::uint64_t query, std::uint64_t version, bool changedUnasked)
{
    std::vector<Resolution> resolutions;
    for (auto it = m_streams.begin(); it != m_streams.end();) {
        auto &stream = it->second;
        if (stream.ended && !m_tagged && query < stream.provedFrom && !changedUnasked && !stream.failed) {
            ++it;
            continue;
        }
        const bool verified = proves(stream, version, changedUnasked);
        if (stream.ended && stream.inDoubt) {
            resolutions.push_back({it->first, verified, stream.versions});
            it = m_streams.erase(it);
            continue;
        }
        const bool openUntagged = !m_tagged && !stream.ended;
        stream.failed = stream.failed || (!verified && !openUntagged) || changedUnasked;
        stream.inDoubt = stream.inDoubt && openUntagged;
        ++it;
    }
    return resolutions;
}

}
