#pragma once

#include "usage/usagerecord.h"

#include <map>

namespace Basilbend
{

/// What a sum is kept for.
struct UsageKey {
    std::string workspace;
    std::uint64_t window = 0;
    UsageCause cause = UsageCause::Normal;
};

inline bool operator<(const UsageKey &a, const UsageKey &b)
{
    return std::tie(a.workspace, a.window, a.cause) < std::tie(b.workspace, b.window, b.cause);
}
inline bool operator==(const UsageKey &a, const UsageKey &b)
{
    return std::tie(a.workspace, a.window, a.cause) == std::tie(b.workspace, b.window, b.cause);
}

struct UsageSum {
    std::uint64_t attempts = 0;
    std::uint64_t inputTokens = 0;
    std::uint64_t outputTokens = 0;
};

inline bool operator==(const UsageSum &a, const UsageSum &b)
{
    return std::tie(a.attempts, a.inputTokens, a.outputTokens) == std::tie(b.attempts, b.inputTokens, b.outputTokens);
}

/// Sums of usage per workspace, window and cause.
class UsageFigures
{
public:
    void add(const UsageRecord &record);
    void add(const UsageFigures &other);
    void add(const UsageKey &key, const UsageSum &sum);

    /// Takes back a record that was added before.
    void subtract(const UsageRecord &record);

    /// Moves out the sums of windows above this one.
    UsageFigures takeAfter(std::uint64_t window);

    bool isEmpty() const
    {
        return m_sums.empty();
    }
    const std::map<UsageKey, UsageSum> &sums() const
    {
        return m_sums;
    }

    /// Rows [workspace, window, cause, attempts, input tokens, output tokens] in key order.
    nlohmann::json toJson() const;

    /// Throws nlohmann::json::exception or std::invalid_argument when the rows are malformed.
    static UsageFigures fromJson(const nlohmann::json &rows);

private:
    std::map<UsageKey, UsageSum> m_sums;
};

inline bool operator==(const UsageFigures &a, const UsageFigures &b)
{
    return a.sums() == b.sums();
}

}
