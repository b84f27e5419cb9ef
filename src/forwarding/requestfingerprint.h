#pragma once

#include "http/httpmessage.h"

#include <string>

namespace Basilbend
{

/// Identifies a request across the attempts of its client, which have an id each: a digest of the workspace, the host, the method, the
/// target and the body.
struct RequestFingerprint {
    /// Hexadecimal text, the same in every process.
    std::string digest;
};

inline bool operator==(const RequestFingerprint &a, const RequestFingerprint &b)
{
    return a.digest == b.digest;
}

inline bool operator!=(const RequestFingerprint &a, const RequestFingerprint &b)
{
    return !(a == b);
}

inline bool operator<(const RequestFingerprint &a, const RequestFingerprint &b)
{
    return a.digest < b.digest;
}

/// The workspace is empty for requests of public routes. Takes time in proportion to the body.
RequestFingerprint fingerprintOf(const RequestMessage &request, const std::string &workspace);

}
