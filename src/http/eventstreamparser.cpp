#include "http/eventstreamparser.h"

#include <charconv>

namespace Basilbend
{

namespace
{

/// Extracts the value of a "name: value" line, without the optional space after the colon. Returns false for other lines.
bool parseField(std::string_view line, std::string_view name, std::string_view &value)
{
    if (line.substr(0, name.size()) != name || line.size() <= name.size() || line[name.size()] != ':') {
        return false;
    }
    value = line.substr(name.size() + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return true;
}

}

EventStreamParser::EventStreamParser(std::function<void(const StreamEvent &)> onEvent)
    : m_onEvent(std::move(onEvent))
{
}

bool EventStreamParser::feed(std::string_view bytes)
{
    while (!bytes.empty() && !m_hasFailed) {
        const auto end = bytes.find('\n');
        const auto part = bytes.substr(0, end);
        m_line.append(part);
        m_bytesSinceEvent += part.size() + (end == std::string_view::npos ? 0 : 1);
        if (m_bytesSinceEvent > MaxEventBytes) {
            m_hasFailed = true;
            m_line = {};
            m_event = {};
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        m_event.raw.append(m_line).push_back('\n');
        if (!m_line.empty() && m_line.back() == '\r') {
            m_line.pop_back();
        }
        processLine();
        m_line.clear();
    }
    return !m_hasFailed;
}

void EventStreamParser::processLine()
{
    if (m_line.empty()) {
        dispatchEvent();
        return;
    }
    std::string_view value;
    if (parseField(m_line, "data", value)) {
        m_event.data.append(m_hasData ? "\n" : "").append(value);
        m_hasData = true;
    } else if (parseField(m_line, "id", value)) {
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), m_event.id);
        m_event.hasId = ec == std::errc{} && end == value.data() + value.size();
    } else {
        m_event.otherLines.push_back(m_line);
    }
}

void EventStreamParser::dispatchEvent()
{
    const auto event = std::move(m_event);
    const bool hasContent = m_hasData || event.hasId;
    m_event = {};
    m_hasData = false;
    if (hasContent) {
        m_bytesSinceEvent = 0;
        m_onEvent(event);
    }
}

}
