#include "scheduling/endpointuse.h"

namespace Basilbend
{

void EndpointUse::noteStarted(const std::string &endpoint, std::uint64_t expectedTokens)
{
    auto &use = m_uses[endpoint];
    ++use.running;
    use.tokens += expectedTokens;
}

void EndpointUse::noteEnded(const std::string &endpoint, std::uint64_t expectedTokens)
{
    const auto it = m_uses.find(endpoint);
    if (it == m_uses.end()) {
        return;
    }
    it->second.tokens -= expectedTokens;
    if (--it->second.running == 0) {
        m_uses.erase(it);
    }
}

void EndpointUse::clear()
{
    m_uses.clear();
}

int EndpointUse::running(const std::string &endpoint) const
{
    const auto it = m_uses.find(endpoint);
    return it == m_uses.end() ? 0 : it->second.running;
}

std::uint64_t EndpointUse::tokens(const std::string &endpoint) const
{
    const auto it = m_uses.find(endpoint);
    return it == m_uses.end() ? 0 : it->second.tokens;
}

}
