#include "usage/usagefigures.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Basilbend
{

void UsageFigures::add(const UsageKey &key, const UsageSum &sum)
{
    auto &total = m_sums[key];
    total.attempts += sum.attempts;
    total.inputTokens += sum.inputTokens;
    total.outputTokens += sum.outputTokens;
}

void UsageFigures::add(const UsageRecord &record)
{
    add({record.workspace, record.window, record.cause}, {1, record.inputTokens, record.outputTokens});
}

void UsageFigures::add(const UsageFigures &other)
{
    for (const auto &[key, sum] : other.m_sums) {
        add(key, sum);
    }
}

void UsageFigures::subtract(const UsageRecord &record)
{
    const auto it = m_sums.find({record.workspace, record.window, record.cause});
    if (it == m_sums.end()) {
        return;
    }
    auto &sum = it->second;
    --sum.attempts;
    sum.inputTokens -= record.inputTokens;
    sum.outputTokens -= record.outputTokens;
    if (sum.attempts == 0) {
        m_sums.erase(it);
    }
}

UsageFigures UsageFigures::takeAfter(std::uint64_t window)
{
    UsageFigures taken;
    for (auto it = m_sums.begin(); it != m_sums.end();) {
        if (it->first.window > window) {
            taken.m_sums.insert(*it);
            it = m_sums.erase(it);
        } else {
            ++it;
        }
    }
    return taken;
}

nlohmann::json UsageFigures::toJson() const
{
    auto rows = nlohmann::json::array();
    for (const auto &[key, sum] : m_sums) {
        rows.push_back({key.workspace, key.window, usageCauseName(key.cause), sum.attempts, sum.inputTokens, sum.outputTokens});
    }
    return rows;
}

UsageFigures UsageFigures::fromJson(const nlohmann::json &rows)
{
    UsageFigures figures;
    for (const auto &row : rows) {
        const auto cause = usageCauseFromName(row.at(2).get<std::string>());
        if (!cause) {
            throw std::invalid_argument("unknown usage cause");
        }
        figures.add({row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>(), *cause},
                    {row.at(3).get<std::uint64_t>(), row.at(4).get<std::uint64_t>(), row.at(5).get<std::uint64_t>()});
    }
    return figures;
}

}
