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

/// A named value of a log line.
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
    /// An expected outcome.
    Info,
    /// A failure, a delay, or a change in what the process assumes about the system.
    Warning,
};

struct EventLogSettings {
    std::string node;
    std::string incarnation;
    /// Limit on the lines of one event name per second. Lines above it are suppressed, and one line reports their number.
    int infoLinesPerSecond = 40;
    int warningLinesPerSecond = 200;
    /// Limit on the lines buffered for a slow reader. Info lines may use half of it, so they are dropped first.
    std::size_t maxPendingBytes = 512 * 1024;
};

/// Writes structured log lines: one JSON object for each decision. The lines are limited per event name and second. A
/// reader that stops reading neither blocks the process nor makes its memory grow.
class EventLog
{
public:
    /// Writes as many bytes as it can without blocking and returns how many.
    using Sink = std::function<std::size_t(std::string_view)>;

    EventLog(EventLogSettings settings, std::function<Timestamp()> clock, Sink sink);

    void info(std::string_view event, std::initializer_list<LogField> fields);
    void warning(std::string_view event, std::initializer_list<LogField> fields);

    /// Writes pending lines to the sink until it takes no more. Must be called regularly and before exit.
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
    bool acquireLineBudget(LogLevel level, std::string_view event, Timestamp now);
    void append(LogLevel level, const std::string &line);

    EventLogSettings m_settings;
    std::function<Timestamp()> m_clock;
    Sink m_sink;
    std::string m_commonFields;
    std::string m_pending;
    std::map<std::string, EventBudget, std::less<>> m_budgets;
    std::uint64_t m_droppedLines = 0;
};

}
