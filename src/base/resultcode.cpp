#include "base/resultcode.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

struct CodeRow {
    ResultCode code;
    std::string_view name;
    int status;
    std::string_view meaning;
};

constexpr CodeRow CodeRows[] = {
    {ResultCode::Ok, "ok", 200, "The operation succeeded."},
    {ResultCode::MalformedRequest, "malformed_request", 400, "The request is not valid JSON, or a field is missing or of the wrong type."},
    {ResultCode::UnknownField, "unknown_field", 400, "The request has a field that is not known."},
    {ResultCode::BodyTooLarge, "body_too_large", 413, "The body is larger than the limit."},
    {ResultCode::HeadersTooLarge, "headers_too_large", 431, "The headers are larger than the limit."},
    {ResultCode::UnknownPath, "unknown_path", 404, "Nothing is served at this path."},
    {ResultCode::MethodNotAllowed, "method_not_allowed", 405, "The path does not take this method."},
    {ResultCode::RequestTimeout, "request_timeout", 408, "The request was not received in time."},
    {ResultCode::ValueOutOfRange, "value_out_of_range", 400, "A value is outside its range; the message says what is allowed."},
    {ResultCode::KeyMissing, "key_missing", 401, "The request has no key."},
    {ResultCode::KeyUnknown, "key_unknown", 401, "The key is not known."},
    {ResultCode::OperatorCredentialWrong, "operator_credential_wrong", 401, "The operator credential is missing or wrong."},
    {ResultCode::KeyWithdrawn, "key_withdrawn", 401, "The key was withdrawn; open streams of the key end with this code."},
    {ResultCode::NotAllowedByPlan, "not_allowed_by_plan", 403, "The plan of the workspace does not allow this policy, version or route."},
    {ResultCode::ConfigurationNotFresh,
     "configuration_not_fresh",
     503,
     "This process is cut off and can not know whether the key still holds; try another entry."},
    {ResultCode::RateLimited, "rate_limited", 429, "The allowance of the workspace is used up for now."},
    {ResultCode::Overloaded, "overloaded", 503, "The expected wait is longer than the request can bear."},
    {ResultCode::DeadlineExceeded, "deadline_exceeded", 504, "The deadline of the request has passed."},
    {ResultCode::NoEndpoint, "no_endpoint", 503, "No endpoint can serve the request now."},
    {ResultCode::RetryBudgetExhausted, "retry_budget_exhausted", 503, "An attempt failed and the retry budget of the route is used up."},
    {ResultCode::Draining, "draining", 503, "The process is shutting down; try another one."},
    {ResultCode::Quarantined, "quarantined", 503, "Endpoints crashed while they ran the same request; it is not run for a while."},
    {ResultCode::NotRun, "not_run", 503, "The request did not run and never will."},
    {ResultCode::ExecutionUnknown, "execution_unknown", 502, "Whether the request ran can not be found out; it was not repeated."},
    {ResultCode::EndpointFailed, "endpoint_failed", 502, "The endpoint failed while it ran the request."},
    {ResultCode::AnswerIncomplete, "answer_incomplete", 502, "The answer was cut before its end."},
    {ResultCode::AttemptRevoked, "attempt_revoked", 409, "The attempt was revoked before it started."},
    {ResultCode::Cancelled, "cancelled", 499, "The caller cancelled the request."},
    {ResultCode::VersionUnverified, "version_unverified", 502, "The weight versions of the answer could not be verified."},
    {ResultCode::SampleStale, "sample_stale", 409, "The sample is older than the staleness bound."},
    {ResultCode::SwapFailed, "swap_failed", 502, "The engine could not load the weights."},
    {ResultCode::StreamNotResumable, "stream_not_resumable", 503, "No endpoint of the software version that began the stream can resume it."},
    {ResultCode::StepUnknown, "step_unknown", 404, "No holder of the step can be reached; open it again with the cursor."},
    {ResultCode::CursorInvalid, "cursor_invalid", 400, "The cursor was not made by this service or was changed."},
    {ResultCode::StepExpired, "step_expired", 410, "The deadline of the step has passed; what it lacks will not come."},
    {ResultCode::RevisionConflict, "revision_conflict", 409, "The list was changed since the revision that the edit was made on."},
    {ResultCode::EditInvalid, "edit_invalid", 400, "The edit refers to something that does not exist or is in use."},
    {ResultCode::RevisionTooOld, "revision_too_old", 409, "The revision is older than the one in force."},
    {ResultCode::StoreUnavailable, "store_unavailable", 503, "The platform's store does not answer; nothing was written."},
    {ResultCode::StoreConflict, "store_conflict", 409, "The value in the store is not the expected one; nothing was written."},
    {ResultCode::StoreAnswerLost, "store_answer_lost", 504, "The answer of the platform's store was lost; the write may have taken effect."},
    {ResultCode::NotInCharge, "not_in_charge", 409, "This process does not hold the duty."},
    {ResultCode::SettingsInvalid, "settings_invalid", 400, "The settings file has faults; the message lists them."},
    {ResultCode::TraceInvalid, "trace_invalid", 400, "The trace has faults; the message names the line."},
    {ResultCode::InternalError, "internal_error", 500, "A fault in the service; the log has the request id."},
};

const CodeRow &codeRow(ResultCode code)
{
    const auto it = std::find_if(std::begin(CodeRows), std::end(CodeRows), [code](const CodeRow &row) { return row.code == code; });
    return it == std::end(CodeRows) ? CodeRows[std::size(CodeRows) - 1] : *it;
}

}

std::string_view resultCodeName(ResultCode code)
{
    return Internal::codeRow(code).name;
}

std::string_view resultCodeMeaning(ResultCode code)
{
    return Internal::codeRow(code).meaning;
}

int httpStatus(ResultCode code)
{
    return Internal::codeRow(code).status;
}

std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

const std::vector<ResultCode> &allResultCodes()
{
    static const std::vector<ResultCode> codes = [] {
        std::vector<ResultCode> all;
        for (const auto &row : Internal::CodeRows) {
            all.push_back(row.code);
        }
        return all;
    }();
    return codes;
}

}
