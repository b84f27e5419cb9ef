#pragma once

#include "base/random.h"

#include <string>
#include <string_view>

namespace Basilbend
{

/// A W3C trace context. The trace identifier has 32 hexadecimal digits, the span identifier 16.
struct TraceContext {
    std::string traceId;
    std::string spanId;

    /// Creates the root span of a new trace.
    static TraceContext root(Random &random);

    /// Parses a traceparent header. A malformed header starts a new trace, as the standard requires.
    static TraceContext fromHeader(std::string_view header, Random &random);

    /// Creates a new span of the same trace.
    TraceContext child(Random &random) const;

    /// Returns the traceparent header, "00-<trace>-<span>-01".
    std::string toHeader() const;
};

}
