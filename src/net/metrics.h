#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and summaries of one process, exported in the Prometheus text format. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Increments a counter by the amount. Counter names end with _total.
    void count(const std::string &name, const MetricLabels &labels = {}, std::uint64_t amount = 1);

    void setGauge(const std::string &name, double value, const MetricLabels &labels = {});

    /// Adds an observation to a summary with the quantiles 0.5 and 0.99. Times are in seconds.
    void observe(const std::string &name, double value, const MetricLabels &labels = {});

    /// Returns the value of a counter, for tests and status responses; zero if it was never incremented.
    std::uint64_t counter(const std::string &name, const MetricLabels &labels = {}) const;

    /// Returns all series in the text format.
    std::string toText() const;

private:
    class Summary;
    using Series = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<Series, std::uint64_t> m_counters;
    std::map<Series, double> m_gauges;
    std::map<Series, std::unique_ptr<Summary>> m_summaries;
};

}
