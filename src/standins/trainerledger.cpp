#include "standins/trainerledger.h"

#include "standins/completiontext.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

TrainerLedger::TrainerLedger(Step step, SeedFunction seed)
    : m_step(std::move(step))
    , m_seed(std::move(seed))
{
    for (std::size_t group = 0; group < m_step.groups.size(); ++group) {
        m_groupOf.insert(m_groupOf.end(), m_step.groups[group].samples, static_cast<std::uint32_t>(group));
    }
    m_received.resize(m_groupOf.size());
    m_report.samples = m_groupOf.size();
}

void TrainerLedger::receive(std::uint32_t index, std::uint32_t group, const SampleBody &body, std::uint64_t trainerVersion, std::uint64_t published)
{
    if (index >= m_received.size() || m_groupOf[index] != group) {
        ++m_report.unknown;
        return;
    }
    if (m_received[index]) {
        ++m_report.duplicates;
        return;
    }
    m_received[index] = true;
    ++m_report.delivered;
    m_report.tokens += body.tokens;
    const CompletionText expected(m_step.groups[group].prompt, m_seed(index));
    const auto tokens = std::min<std::uint64_t>(m_step.maxTokens, expected.length());
    m_report.wrongTexts += body.text != expected.text(tokens) || body.tokens != tokens ? 1 : 0;
    checkVersions(body, trainerVersion, published);
}

TrainerReport TrainerLedger::report() const
{
    auto report = m_report;
    report.lost = report.samples - report.delivered;
    return report;
}

void TrainerLedger::checkVersions(const SampleBody &body, std::uint64_t trainerVersion, std::uint64_t published)
{
    bool wrong = body.versions.empty() || body.versions.front().firstToken != 0;
    for (std::size_t n = 0; n < body.versions.size(); ++n) {
        const auto &segment = body.versions[n];
        wrong = wrong || segment.version == 0 || segment.version > published || segment.firstToken >= std::max<std::uint64_t>(1, body.tokens);
        wrong = wrong || (n > 0 && segment.firstToken <= body.versions[n - 1].firstToken);
    }
    if (wrong) {
        ++m_report.wrongVersions;
        return;
    }
    const auto oldest = oldestVersion(body.versions);
    const auto staleness = std::max(trainerVersion, oldest) - oldest;
    ++m_report.staleness[staleness];
    m_report.stale += staleness > m_step.maxStaleness ? 1 : 0;
}

}
