#include "platform/dutycalls.h"

#include "platform/wirenames.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

RequestMessage makeUsageReport(const std::string &host, const std::string &holder, std::uint64_t fencingToken, std::int64_t window, const UsageCounts &counts)
{
    const nlohmann::json body = {{"window_index", window}, {"counts", counts}};
    return {"POST",
            "/usage",
            {{"Host", host}, {"Content-Type", "application/json"}, {Wire::DutyHolder, holder}, {Wire::FencingToken, std::to_string(fencingToken)}},
            body.dump()};
}

}
