#pragma once

#include "standins/standin.h"

#include <map>

namespace Basilbend
{

/// Stand-in for the receiver of usage reports. Records each report as it came; the first figures of a window count.
/// Fault switch: answer_lost (the next n reports are taken, then the connection is closed without an answer).
class UsageReports : public StandIn
{
public:
    UsageReports();

    nlohmann::json stats() const override;

protected:
    void serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now) override;

private:
    std::map<std::string, nlohmann::json> m_windows;
    nlohmann::json m_received = nlohmann::json::array();
    std::uint64_t m_repeated = 0;
    std::uint64_t m_contradicting = 0;
};

}
