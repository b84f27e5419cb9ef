#pragma once

#include "base/timestamp.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

struct OutlierSettings {
    /// An endpoint whose 90% quantile of ms per token is above this multiple of the peers' median is slow. Engines with
    /// full and with small batches differ by less than 2.
    double factor = 2.5;

    /// Measurements that an endpoint needs before it is judged; the newest 50 count.
    std::size_t leastSamples = 8;

    /// At most this part of the endpoints is out at once.
    double largestPartOut = 0.3;

    /// First time out; doubles with each further one, up to eight times.
    Milliseconds timeOut{20000};
};

/// Finds endpoints that answer but are slow compared with their peers, by latency alone. Dead endpoints are found by failed
/// connections.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings);

    /// Records the time per generated token of one response or part of it.
    void observe(const std::string &endpoint, double msPerToken);
    void remove(const std::string &endpoint);

    /// Judges all endpoints, once a second. Returns those that come back into rotation; they start slowly.
    std::vector<std::string> evaluate(Timestamp now);

    bool isOut(const std::string &endpoint) const;
    std::size_t outCount() const;

private:
    struct State {
        std::vector<double> samples;
        std::size_t next = 0;
        Timestamp outUntil;
        int timesOut = 0;
    };

    static double quantile(std::vector<double> values, double part);

    OutlierSettings m_settings;
    std::map<std::string, State> m_states;
    std::set<std::string> m_out;
};

}
