#pragma once

#include "base/timestamp.h"

#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

/// A finished span of a trace. It never contains a key; the attribute "key.id" identifies one.
struct Span {
    std::string traceId;
    std::string spanId;
    std::string parentSpanId;
    std::string name;
    Timestamp start;
    Timestamp end;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Writes spans as JSON lines with OTLP field names, the format that collectors read from files.
class SpanWriter
{
public:
    /// Receives one line including its line break; calls are serialized. If empty, spans are discarded without being formatted.
    using LineSink = std::function<void(const std::string &line)>;

    SpanWriter(std::string serviceName, LineSink sink);

    /// Thread-safe.
    void write(const Span &span);

    bool isEnabled() const;

private:
    std::string m_serviceName;
    LineSink m_sink;
    std::mutex m_mutex;
};

}
