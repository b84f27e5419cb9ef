#include "routing/endpointtable.h"

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds FreshReport{3000};

}

double LoadReport::load() const
{
    return competing.value_or(static_cast<double>(running + waiting)) / static_cast<double>(capacity);
}

void EndpointTable::apply(const LoadReport &report, Timestamp now)
{
    const auto [it, isNew] = m_index.try_emplace(report.endpoint, m_rows.size());
    if (isNew) {
        m_rows.push_back({});
    }
    auto &row = m_rows[it->second];
    if (isNew || row.unreachable || (row.report.leaving && !report.leaving)) {
        row.firstSeen = now;
    }
    row.report = report;
    row.reportedAt = now;
    row.sentSinceReport = 0;
    row.unreachable = false;
}

void EndpointTable::remove(const std::string &endpoint)
{
    const auto it = m_index.find(endpoint);
    if (it == m_index.end()) {
        return;
    }
    const auto position = it->second;
    m_index.erase(it);
    if (position + 1 != m_rows.size()) {
        m_rows[position] = std::move(m_rows.back());
        m_index[m_rows[position].report.endpoint] = position;
    }
    m_rows.pop_back();
}

void EndpointTable::markUnreachable(const std::string &endpoint)
{
    if (auto *row = findRow(endpoint)) {
        row->unreachable = true;
    }
}

void EndpointTable::restartSlowly(const std::string &endpoint, Timestamp now)
{
    if (auto *row = findRow(endpoint)) {
        row->firstSeen = now;
    }
}

void EndpointTable::requestStarted(const std::string &endpoint)
{
    if (auto *row = findRow(endpoint)) {
        ++row->inFlight;
        ++row->sentSinceReport;
    }
}

void EndpointTable::requestFinished(const std::string &endpoint)
{
    auto *row = findRow(endpoint);
    if (row && row->inFlight > 0) {
        --row->inFlight;
    }
}

const std::vector<EndpointTable::Row> &EndpointTable::rows() const
{
    return m_rows;
}

const EndpointTable::Row *EndpointTable::find(const std::string &endpoint) const
{
    const auto it = m_index.find(endpoint);
    return it == m_index.end() ? nullptr : &m_rows[it->second];
}

double EndpointTable::meanLoad(Timestamp now) const
{
    double sum = 0;
    std::size_t n = 0;
    for (const auto &row : m_rows) {
        if (now - row.reportedAt <= Internal::FreshReport) {
            sum += row.report.load();
            ++n;
        }
    }
    return n == 0 ? 0 : sum / static_cast<double>(n);
}

EndpointTable::Row *EndpointTable::findRow(const std::string &endpoint)
{
    const auto it = m_index.find(endpoint);
    return it == m_index.end() ? nullptr : &m_rows[it->second];
}

}
