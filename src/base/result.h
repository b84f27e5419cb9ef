#pragma once

#include "base/resultcode.h"
#include "base/timestamp.h"

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <tuple>

namespace Basilbend
{

/// A failed operation: its result code, a human-readable message, whether the work ran, and how long to wait before a retry
/// (zero: no wait).
struct Error {
    ResultCode code = ResultCode::InternalError;
    std::string message;
    Execution execution = Execution::NotRun;
    Milliseconds retryAfter{0};
};

inline bool operator==(const Error &a, const Error &b)
{
    return std::tie(a.code, a.message, a.execution, a.retryAfter) == std::tie(b.code, b.message, b.execution, b.retryAfter);
}

/// A value or an Error. Access to the one that is absent throws boost::outcome_v2::bad_result_access.
template <typename T>
using Result = boost::outcome_v2::checked<T, Error>;

}
