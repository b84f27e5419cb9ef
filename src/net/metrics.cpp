#include "net/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdio>

namespace Basilbend
{

namespace Internal
{

// Below five observations the P-square estimator returns zero, so quantiles are not exported.
constexpr std::size_t MinQuantileObservations = 5;

std::string labelText(const MetricLabels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text.append(text.empty() ? "" : ",").append(name).append("=\"");
        for (const char c : value) {
            if (c == '"' || c == '\\') {
                text.push_back('\\');
            }
            text.append(c == '\n' ? "\\n" : std::string(1, c));
        }
        text.push_back('"');
    }
    return text;
}

std::string numberText(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.9g", value);
    return text;
}

std::string seriesText(const std::string &name, const std::string &labels, const std::string &extraLabels = {})
{
    const auto allLabels = labels.empty() || extraLabels.empty() ? labels + extraLabels : labels + "," + extraLabels;
    return allLabels.empty() ? name : name + "{" + allLabels + "}";
}

/// Appends the type line once per name; the series of a name are adjacent because the maps are sorted.
void appendTypeLine(std::string &text, std::string &lastName, const std::string &name, const char *type)
{
    if (lastName != name) {
        text += "# TYPE " + name + " " + type + "\n";
        lastName = name;
    }
}

}

class Metrics::Summary
{
public:
    void add(double value)
    {
        m_sum(value);
        m_median(value);
        m_p99(value);
    }

    void write(std::string &text, const std::string &name, const std::string &labels) const
    {
        namespace Accumulate = boost::accumulators;
        if (Accumulate::count(m_sum) >= Internal::MinQuantileObservations) {
            text += Internal::seriesText(name, labels, "quantile=\"0.5\"") + " " + Internal::numberText(Accumulate::p_square_quantile(m_median)) + "\n";
            text += Internal::seriesText(name, labels, "quantile=\"0.99\"") + " " + Internal::numberText(Accumulate::p_square_quantile(m_p99)) + "\n";
        }
        text += Internal::seriesText(name + "_sum", labels) + " " + Internal::numberText(Accumulate::sum(m_sum)) + "\n";
        text += Internal::seriesText(name + "_count", labels) + " " + std::to_string(Accumulate::count(m_sum)) + "\n";
    }

private:
    using Quantile = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::sum, boost::accumulators::tag::count>> m_sum;
    Quantile m_median{boost::accumulators::quantile_probability = 0.5};
    Quantile m_p99{boost::accumulators::quantile_probability = 0.99};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const MetricLabels &labels, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, Internal::labelText(labels)}] += amount;
}

void Metrics::setGauge(const std::string &name, double value, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, Internal::labelText(labels)}] = value;
}

void Metrics::observe(const std::string &name, double value, const MetricLabels &labels)
{
    const std::lock_guard lock(m_mutex);
    auto &summary = m_summaries[{name, Internal::labelText(labels)}];
    if (!summary) {
        summary = std::make_unique<Summary>();
    }
    summary->add(value);
}

std::uint64_t Metrics::counter(const std::string &name, const MetricLabels &labels) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_counters.find({name, Internal::labelText(labels)});
    return it == m_counters.end() ? 0 : it->second;
}

std::string Metrics::toText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    std::string lastName;
    for (const auto &[series, value] : m_counters) {
        Internal::appendTypeLine(text, lastName, series.first, "counter");
        text += Internal::seriesText(series.first, series.second) + " " + std::to_string(value) + "\n";
    }
    for (const auto &[series, value] : m_gauges) {
        Internal::appendTypeLine(text, lastName, series.first, "gauge");
        text += Internal::seriesText(series.first, series.second) + " " + Internal::numberText(value) + "\n";
    }
    for (const auto &[series, summary] : m_summaries) {
        Internal::appendTypeLine(text, lastName, series.first, "summary");
        summary->write(text, series.first, series.second);
    }
    return text;
}

}
