#pragma once

#include <string_view>
#include <vector>

namespace Basilbend
{

/// Result codes of requests and operations. The hundreds digit selects the area; docs/result-codes.md lists all codes.
/// The numbers are part of the interface: a code is never renumbered or reused.
enum class ResultCode {
    Ok = 0,

    MalformedRequest = 1000,
    UnknownField = 1001,
    BodyTooLarge = 1002,
    HeadersTooLarge = 1003,
    UnknownPath = 1004,
    MethodNotAllowed = 1005,
    RequestTimeout = 1006,
    ValueOutOfRange = 1007,

    KeyMissing = 1100,
    KeyUnknown = 1101,
    OperatorCredentialWrong = 1102,
    KeyWithdrawn = 1103,
    NotAllowedByPlan = 1104,
    ConfigurationNotFresh = 1105,

    RateLimited = 1200,
    Overloaded = 1201,
    DeadlineExceeded = 1202,
    NoEndpoint = 1203,
    RetryBudgetExhausted = 1204,
    Draining = 1205,
    Quarantined = 1206,

    NotRun = 1300,
    ExecutionUnknown = 1301,
    EndpointFailed = 1302,
    AnswerIncomplete = 1303,
    AttemptRevoked = 1304,
    Cancelled = 1305,

    VersionUnverified = 1400,
    SampleStale = 1401,
    SwapFailed = 1402,
    StreamNotResumable = 1403,

    StepUnknown = 1500,
    CursorInvalid = 1501,
    StepExpired = 1502,

    RevisionConflict = 1600,
    EditInvalid = 1601,
    RevisionTooOld = 1602,

    StoreUnavailable = 1700,
    StoreConflict = 1701,
    StoreAnswerLost = 1702,
    NotInCharge = 1703,

    SettingsInvalid = 1800,
    TraceInvalid = 1801,

    InternalError = 1900,
};

/// Whether the work of a failed request ran. Only a request that did not run is retried without the caller's consent.
enum class Execution {
    NotRun,
    Ran,
    Unknown,
};

/// Returns the name of a code as used in responses and in the table of the docs, for example "key_withdrawn".
std::string_view resultCodeName(ResultCode code);

/// Returns the description of a code for the table in the docs.
std::string_view resultCodeMeaning(ResultCode code);

/// Returns the HTTP status of a response with this code.
int httpStatus(ResultCode code);

/// Returns "not_run", "ran" or "unknown".
std::string_view executionName(Execution execution);

/// Returns all codes in ascending order, for the table in the docs and its test.
const std::vector<ResultCode> &allResultCodes();

}
