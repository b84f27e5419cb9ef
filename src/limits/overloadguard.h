#pragma once

#include "base/result.h"
#include "limits/queuedrequest.h"

#include <cstddef>
#include <map>
#include <string>

namespace Basilbend
{

struct OverloadSettings {
    /// Requests that an entry holds at once.
    std::size_t inFlightBound = 10000;

    /// Above this part of the bound only workspaces below their share of it are admitted.
    double fairAbove = 0.75;
};

/// Refuses requests at the entry at once when they could only wait and fail.
class OverloadGuard
{
public:
    explicit OverloadGuard(OverloadSettings settings);

    void setShare(const std::string &workspace, double share);

    /// Admits the request, or refuses it as Overloaded with a time to retry. The expected wait is that of the endpoint with
    /// the shortest queue. Each admitted request must be reported as finished once.
    Result<void> admit(const std::string &workspace, Milliseconds expectedWait, Timestamp deadline, Timestamp now);
    void finished(const std::string &workspace);

    std::size_t inFlight() const;

private:
    struct Account {
        double share = 1;
        std::size_t inFlight = 0;
    };

    OverloadSettings m_settings;
    std::map<std::string, Account> m_accounts;
    std::size_t m_inFlight = 0;
};

}
