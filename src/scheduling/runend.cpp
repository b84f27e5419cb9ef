#include "scheduling/runend.h"

namespace Basilbend
{

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Complete:
        return "complete";
    case RunEnd::ServerError:
        return "server_error";
    case RunEnd::TimedOut:
        return "timed_out";
    case RunEnd::Unprocessable:
        return "unprocessable";
    case RunEnd::Refused:
        return "refused";
    case RunEnd::NotConnected:
        return "not_connected";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Oversized:
        return "oversized";
    }
    return "unknown";
}

}
