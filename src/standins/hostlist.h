#pragma once

#include "standins/standin.h"

#include <map>
#include <vector>

namespace Basilbend
{

/// Stand-in for the platform's list of hosts, which shows each change only after its lag. Checks change it with
/// POST /hosts {address, zone, state}, where the state "gone" removes a host.
class HostList : public StandIn
{
public:
    explicit HostList(Milliseconds lag);

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;
    void advance(Timestamp now) override;

private:
    struct Change {
        Timestamp due;
        std::string address;
        std::string zone;
        std::string state;
    };

    Milliseconds m_lag;
    std::vector<Change> m_pending;
    std::map<std::string, Change> m_visible;
    std::uint64_t m_calls = 0;
};

}
