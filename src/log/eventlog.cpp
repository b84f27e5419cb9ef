#include "log/eventlog.h"

#include "net/jsontext.h"

#include <cstdio>

namespace Basilbend
{

namespace
{

/// Pending lines are written to the sink once they reach this size.
constexpr std::size_t FlushThresholdBytes = 16 * 1024;

void appendValue(std::string &line, const LogField &field)
{
    if (const auto *text = std::get_if<std::string_view>(&field.value)) {
        appendJsonString(line, *text);
    } else if (const auto *number = std::get_if<std::int64_t>(&field.value)) {
        line.append(std::to_string(*number));
    } else if (const auto *real = std::get_if<double>(&field.value)) {
        char buf[32];
        std::snprintf(buf, sizeof buf, "%.6g", *real);
        line.append(buf);
    } else {
        line.append(std::get<bool>(field.value) ? "true" : "false");
    }
}

}

EventLog::EventLog(EventLogSettings settings, std::function<Timestamp()> clock, Sink sink)
    : m_settings(std::move(settings))
    , m_clock(std::move(clock))
    , m_sink(std::move(sink))
{
    m_commonFields = ",\"node\":";
    appendJsonString(m_commonFields, m_settings.node);
    m_commonFields += ",\"incarnation\":";
    appendJsonString(m_commonFields, m_settings.incarnation);
    m_commonFields += ",\"event\":";
}

void EventLog::info(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Info, event, fields);
}

void EventLog::warning(std::string_view event, std::initializer_list<LogField> fields)
{
    write(LogLevel::Warning, event, fields);
}

bool EventLog::acquireLineBudget(LogLevel level, std::string_view event, Timestamp now)
{
    auto it = m_budgets.find(event);
    if (it == m_budgets.end()) {
        it = m_budgets.emplace(std::string(event), EventBudget()).first;
    }
    auto &budget = it->second;
    const auto second = now.milliseconds() / 1000;
    if (second != budget.second) {
        const int suppressed = budget.suppressed;
        budget = {second, 0, 0};
        if (suppressed > 0) {
            write(LogLevel::Warning, "log_lines_suppressed", {{"of", event}, {"lines", suppressed}});
        }
    }
    const int limit = level == LogLevel::Info ? m_settings.infoLinesPerSecond : m_settings.warningLinesPerSecond;
    if (budget.lines >= limit) {
        ++budget.suppressed;
        ++m_droppedLines;
        return false;
    }
    ++budget.lines;
    return true;
}

void EventLog::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto now = m_clock();
    if (!acquireLineBudget(level, event, now)) {
        return;
    }
    std::string line = "{\"time_ms\":";
    line.append(std::to_string(now.milliseconds()));
    line.append(level == LogLevel::Info ? ",\"level\":\"info\"" : ",\"level\":\"warning\"");
    line.append(m_commonFields);
    appendJsonString(line, event);
    for (const auto &field : fields) {
        line.push_back(',');
        appendJsonString(line, field.name);
        line.push_back(':');
        appendValue(line, field);
    }
    line.append("}\n");
    append(level, line);
}

void EventLog::append(LogLevel level, const std::string &line)
{
    // Half of the buffer is reserved for warnings, which explain failures.
    const auto capacity = level == LogLevel::Info ? m_settings.maxPendingBytes / 2 : m_settings.maxPendingBytes;
    if (m_pending.size() + line.size() > capacity) {
        ++m_droppedLines;
        return;
    }
    m_pending.append(line);
    if (m_pending.size() >= FlushThresholdBytes) {
        flush();
    }
}

void EventLog::flush()
{
    while (!m_pending.empty()) {
        const auto n = m_sink(m_pending);
        if (n == 0) {
            return;
        }
        m_pending.erase(0, n);
    }
}

}
