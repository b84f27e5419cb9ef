#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// An event of a text/event-stream.
struct StreamEvent {
    std::uint64_t id = 0;
    bool hasId = false;
    /// The data lines, joined by line feeds.
    std::string data;
    /// Lines that are neither data nor id.
    std::vector<std::string> otherLines;
    /// The received bytes of the event, including the empty line that ends it.
    std::string raw;
};

/// Parses a text/event-stream byte stream. An event is reported once its empty line has arrived; an incomplete event at the
/// end of the stream is dropped, because a server may stop in the middle of one.
class EventStreamParser
{
public:
    explicit EventStreamParser(std::function<void(const StreamEvent &)> onEvent);

    /// Parses the next bytes. Returns false once MaxEventBytes have completed no event, and ignores all further bytes: a faulty server may
    /// send an endless line, an endless event, or comments and empty lines without end.
    bool feed(std::string_view bytes);

    /// Whether an event has begun and its empty line has not arrived.
    bool isInsideEvent() const
    {
        return !m_line.empty() || !m_event.raw.empty();
    }

    static constexpr std::size_t MaxEventBytes = 128 * 1024;

private:
    void processLine();
    void dispatchEvent();

    std::function<void(const StreamEvent &)> m_onEvent;
    StreamEvent m_event;
    std::string m_line;
    /// Bytes that have arrived since the last event was complete.
    std::size_t m_bytesSinceEvent = 0;
    bool m_hasData = false;
    bool m_hasFailed = false;
};

}
