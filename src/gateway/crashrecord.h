#pragma once

#include "forwarding/crashhistory.h"

#include <optional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Prefix of the keys under which gateways share the crashes of endpoints. One key per request and endpoint start: gateways that report
/// the same crash write the same key, and no write depends on another one.
inline constexpr const char *CrashPrefix = "crash/";

std::string crashKey(const RequestFingerprint &request, const EndpointStart &endpoint);

/// Encodes the part of a crash that its key does not hold.
std::string encodeCrash(const EndpointCrash &crash);

/// The request and the endpoint that a key names; nothing if the key is malformed.
std::optional<EndpointCrash> decodeCrashKey(std::string_view key);

/// Returns nothing if the key or the value is malformed.
std::optional<EndpointCrash> decodeCrash(std::string_view key, std::string_view value);

}
