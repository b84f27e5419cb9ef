#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// One event of a text/event-stream.
struct StreamEvent {
    std::uint64_t id = 0;
    bool hasId = false;
    /// The data lines, joined by line feeds.
    std::string data;
    /// Lines that are neither data nor id.
    std::vector<std::string> otherLines;
    /// The event as it came, with the empty line at its end.
    std::string raw;
};

/// Splits a byte stream into events. What follows the last empty line is no event yet and is dropped with the splitter,
/// because a server may stop in the middle of one.
class EventStream
{
public:
    explicit EventStream(std::function<void(const StreamEvent &)> onEvent);

    /// Returns false when a line or an event exceeds MaxEventBytes, and takes nothing from then on: a server in trouble may
    /// send one without end.
    bool feed(std::string_view bytes);

    static constexpr std::size_t MaxEventBytes = 128 * 1024;

private:
    void endLine();
    void endEvent();

    std::function<void(const StreamEvent &)> m_onEvent;
    StreamEvent m_event;
    std::string m_line;
    bool m_hasData = false;
    bool m_hasFailed = false;
};

}
