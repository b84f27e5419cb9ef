#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace Basilbend
{

/// One named value of a log line.
struct LogField {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {
    }
    LogField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    {
    }
    template <typename Number, std::enable_if_t<std::is_integral_v<Number> && !std::is_same_v<Number, bool>, int> = 0>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    {
    }
    LogField(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    {
    }
    LogField(std::string_view fieldName, Milliseconds span)
        : name(fieldName)
        , value(static_cast<std::int64_t>(span.count()))
    {
    }
};

enum class LogLevel {
    /// What went as expected.
    Info,
    /// What failed, came late, or changes what the process believes.
    Warning,
};

struct EventLogSettings {
    std::string node;
    std::string incarnation;
    /// Lines of one event name in a second; what is above is counted and told in one line.
    int infoLinesPerSecond = 40;
    int warningLinesPerSecond = 200;
    /// Lines that wait for a slow reader; above it lines of good outcomes are dropped first.
    std::size_t maxPendingBytes = 512 * 1024;
};

/// Writes structured log lines: one JSON object for each decision. Lines are bounded per event name and second, and a
/// reader that does not read never blocks the process or grows its memory.
class EventLog
{
public:
    /// Takes as many bytes as it can without waiting and returns how many.
    using Sink = std::function<std::size_t(std::string_view)>;

    EventLog(EventLogSettings settings, std::function<Timestamp()> clock, Sink sink);

    void info(std::string_view event, std::initializer_list<LogField> fields);
    void warning(std::string_view event, std::initializer_list<LogField> fields);

    /// Hands pending lines to the sink. To be called from time to time and at the end.
    void flush();

    std::uint64_t droppedLines() const
    {
        return m_droppedLines;
    }

private:
    struct EventBudget {
        std::int64_t second = 0;
        int lines = 0;
        int suppressed = 0;
    };

    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);
    bool admit(LogLevel level, std::string_view event, Timestamp now);
    void append(LogLevel level, const std::string &line);

    EventLogSettings m_settings;
    std::function<Timestamp()> m_clock;
    Sink m_sink;
    std::string m_common;
    std::string m_pending;
    std::map<std::string, EventBudget, std::less<>> m_budgets;
    std::uint64_t m_droppedLines = 0;
};

}
