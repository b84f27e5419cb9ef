#include "net/spanwriter.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

using nlohmann::json;

namespace Internal
{

json attribute(const std::string &key, const std::string &value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

/// OTLP/JSON encodes 64-bit integers as strings.
std::string nanoseconds(Timestamp at)
{
    return std::to_string(at.milliseconds() * 1000000);
}

}

SpanWriter::SpanWriter(std::string serviceName, LineSink sink)
    : m_serviceName(std::move(serviceName))
    , m_sink(std::move(sink))
{
}

bool SpanWriter::isEnabled() const
{
    return static_cast<bool>(m_sink);
}

void SpanWriter::write(const Span &span)
{
    if (!m_sink) {
        return;
    }
    constexpr int StatusOk = 1;
    constexpr int StatusError = 2;
    auto attributes = json::array();
    for (const auto &[key, value] : span.attributes) {
        attributes.push_back(Internal::attribute(key, value));
    }
    json item{{"traceId", span.traceId},
              {"spanId", span.spanId},
              {"parentSpanId", span.parentSpanId},
              {"name", span.name},
              {"startTimeUnixNano", Internal::nanoseconds(span.start)},
              {"endTimeUnixNano", Internal::nanoseconds(span.end)},
              {"attributes", std::move(attributes)},
              {"status", {{"code", span.failed ? StatusError : StatusOk}}}};
    json scope{{"scope", {{"name", "basilbend"}}}, {"spans", json::array({std::move(item)})}};
    json resource{{"resource", {{"attributes", json::array({Internal::attribute("service.name", m_serviceName)})}}},
                  {"scopeSpans", json::array({std::move(scope)})}};
    json line{{"resourceSpans", json::array({std::move(resource)})}};
    const auto text = line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    const std::lock_guard lock(m_mutex);
    m_sink(text);
}

}
