#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Basilbend
{

/// What the runs of this process take up at each endpoint.
class EndpointUse
{
public:
    void noteStarted(const std::string &endpoint, std::uint64_t expectedTokens);
    void noteEnded(const std::string &endpoint, std::uint64_t expectedTokens);
    void clear();

    int running(const std::string &endpoint) const;

    /// Tokens that the runs are expected to hold.
    std::uint64_t tokens(const std::string &endpoint) const;

private:
    struct Use {
        int running = 0;
        std::uint64_t tokens = 0;
    };

    std::map<std::string, Use> m_uses;
};

}
