#pragma once

#include "standins/standin.h"

#include <deque>
#include <map>

namespace Basilbend
{

/// Stand-in for the weight store: published versions per policy and a rate limit on loads.
/// Publishing is PUT /weights/POLICY/VERSION. Fault switch: fail_loads (the next n loads are answered with status 500).
class WeightStore : public StandIn
{
public:
    explicit WeightStore(std::size_t loadsPerSecond);

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;

private:
    HttpResponse publish(const std::string &policy, std::uint64_t version);
    HttpResponse load(const std::string &policy, const std::string &version, Timestamp now);

    std::size_t m_loadsPerSecond;
    std::deque<Timestamp> m_loads;
    std::map<std::string, std::uint64_t> m_latest;
    std::uint64_t m_loaded = 0;
    std::uint64_t m_limited = 0;
};

}
