#pragma once

namespace Basilbend::Wire
{

/// Header fields of the platform's protocols.
inline constexpr const char *AttemptId = "Basilbend-Attempt-Id";
inline constexpr const char *DeadlineMs = "Basilbend-Deadline-Ms";
inline constexpr const char *Signature = "Basilbend-Server-Signature";
inline constexpr const char *Tenant = "Basilbend-Tenant";
inline constexpr const char *ExpectInstance = "Basilbend-Expect-Instance";
inline constexpr const char *InstanceId = "Basilbend-Instance-Id";
inline constexpr const char *ExpectVersion = "Basilbend-Expect-Version";
inline constexpr const char *ServerLoad = "Basilbend-Server-Load";
/// Set by an endpoint that is about to leave, in every response.
inline constexpr const char *Leaving = "Server-Leaving";
/// Requests per second that an endpoint takes from all processes together.
inline constexpr const char *ServerLimit = "Server-Limit";
inline constexpr const char *NotExecuted = "Basilbend-Not-Executed";
inline constexpr const char *WaitMs = "Basilbend-Wait-Ms";
inline constexpr const char *WeightVersions = "Basilbend-Weight-Versions";
/// Model that the request is for.
inline constexpr const char *Model = "Basilbend-Model";
inline constexpr const char *LengthHint = "Basilbend-Length-Hint";
inline constexpr const char *PromptPrefix = "Basilbend-Prompt-Prefix";
inline constexpr const char *TokenCounts = "Basilbend-Token-Counts";
inline constexpr const char *DutyHolder = "Basilbend-Duty-Holder";
inline constexpr const char *FencingToken = "Basilbend-Fencing-Token";
inline constexpr const char *ApiKey = "X-Api-Key";
inline constexpr const char *LastEventId = "Last-Event-Id";
/// Id of the client's attempt that brought the first event of a stream that the client takes up.
inline constexpr const char *Resumes = "Resumes";
inline constexpr const char *RetryAfter = "Retry-After";

/// Paths of requests to this system.
inline constexpr const char *ReadinessPath = "/-/readiness";
inline constexpr const char *BatchPath = "/-/lots/";
inline constexpr const char *ItemPath = "/-/items/";

/// Paths of requests to endpoints.
inline constexpr const char *OrderPath = "/-/order";
inline constexpr const char *ReportPath = "/-/report";

/// Store keys written by the operator and the endpoints, and the key of the status that this system writes for the operator.
inline constexpr const char *OperatorPrefix = "op/";
inline constexpr const char *ConfigurationKey = "op/config";
inline constexpr const char *VersionPrefix = "op/version/";
inline constexpr const char *RetirePrefix = "op/retire/";
/// Followed by the name of an availability zone; the entry's presence alone requests the evacuation.
inline constexpr const char *EvacuationPrefix = "op/evacuate/";
inline constexpr const char *RetireStatusPrefix = "status/retire/";
inline constexpr const char *EndpointPrefix = "servers/";

}
