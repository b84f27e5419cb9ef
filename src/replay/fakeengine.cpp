#include "replay/fakeengine.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

constexpr double CachedPromptPart = 0.1;
constexpr std::size_t KeptPrefixes = 64;
constexpr double LargestReadingPart = 0.5;

}

FakeEngine::FakeEngine(const TracePool &pool, std::uint64_t version)
    : m_pool(pool)
    , m_version(version)
    , m_nextVersion(version)
{
}

void FakeEngine::begin(const AttemptId &id, std::uint64_t promptTokens, std::uint64_t prefix, std::uint64_t tokens)
{
    Stream stream;
    stream.promptLeft = static_cast<double>(promptTokens);
    stream.left = tokens;
    const auto known = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (prefix != 0 && known != m_prefixes.end()) {
        stream.promptLeft *= Internal::CachedPromptPart;
        m_prefixes.erase(known);
    }
    if (prefix != 0) {
        m_prefixes.push_back(prefix);
        if (m_prefixes.size() > Internal::KeptPrefixes) {
            m_prefixes.pop_front();
        }
    }
    m_streams[id] = stream;
    m_reading.push_back(id);
}

void FakeEngine::cancel(const AttemptId &id)
{
    m_streams.erase(id);
    m_reading.erase(std::remove(m_reading.begin(), m_reading.end(), id), m_reading.end());
}

void FakeEngine::swapTo(std::uint64_t version, Timestamp now)
{
    if (version == m_nextVersion) {
        return;
    }
    m_nextVersion = version;
    m_pausedUntil = now + m_pool.swapPause;
}

std::vector<AttemptId> FakeEngine::crash(Milliseconds span, Timestamp now)
{
    std::vector<AttemptId> lost;
    for (const auto &[id, stream] : m_streams) {
        lost.push_back(id);
    }
    m_streams.clear();
    m_reading.clear();
    m_prefixes.clear();
    m_downUntil = now + span;
    return lost;
}

void FakeEngine::slowDown(std::uint64_t factor, Timestamp until)
{
    m_slowFactor = factor;
    m_slowUntil = until;
}

std::vector<FakeEngine::Progress> FakeEngine::advance(Milliseconds span, Timestamp now)
{
    std::vector<Progress> progress;
    if (!isUp(now) || isSwapping(now)) {
        return progress;
    }
    m_version = m_nextVersion;
    auto seconds = static_cast<double>(span.count()) / 1000;
    if (now < m_slowUntil) {
        seconds /= static_cast<double>(m_slowFactor);
    }
    seconds -= readPrompts(seconds);
    std::size_t batch = 0;
    for (const auto &[id, stream] : m_streams) {
        batch += stream.promptLeft <= 0 ? 1 : 0;
    }
    const auto rate = batch == 0 ? 0 : static_cast<double>(m_pool.streamRate) / (1 + static_cast<double>(batch - 1) / static_cast<double>(m_pool.halfBatch));
    for (auto it = m_streams.begin(); it != m_streams.end();) {
        auto &stream = it->second;
        if (stream.promptLeft <= 0) {
            stream.carried += rate * seconds;
            const auto tokens = std::min(stream.left, static_cast<std::uint64_t>(stream.carried));
            stream.carried -= static_cast<double>(tokens);
            stream.left -= tokens;
            if (tokens > 0) {
                progress.push_back({it->first, tokens, m_version, stream.left == 0});
            }
        }
        it = stream.left == 0 ? m_streams.erase(it) : std::next(it);
    }
    return progress;
}

bool FakeEngine::isUp(Timestamp now) const
{
    return now >= m_downUntil;
}

bool FakeEngine::isSwapping(Timestamp now) const
{
    return now < m_pausedUntil;
}

std::uint64_t FakeEngine::version() const
{
    return m_version;
}

/// Returns the time that went to prompts.
double FakeEngine::readPrompts(double seconds)
{
    const auto generating = m_streams.size() > m_reading.size();
    const auto most = generating ? seconds * Internal::LargestReadingPart : seconds;
    auto left = most;
    while (!m_reading.empty() && left > 0) {
        auto &stream = m_streams.at(m_reading.front());
        const auto need = stream.promptLeft / static_cast<double>(m_pool.prefillRate);
        const auto used = std::min(need, left);
        left -= used;
        stream.promptLeft = need <= used ? 0 : stream.promptLeft - used * static_cast<double>(m_pool.prefillRate);
        if (stream.promptLeft <= 0) {
            m_reading.pop_front();
        }
    }
    return most - left;
}

}
