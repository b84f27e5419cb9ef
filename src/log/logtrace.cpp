#include "log/logtrace.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

bool containsId(const json &object, const std::string &id)
{
    return std::any_of(object.begin(), object.end(), [&id](const json &value) {
        return value.is_string() ? value.get_ref<const std::string &>() == id : value.is_number_integer() && value.dump() == id;
    });
}

TracedLine makeLine(json object)
{
    TracedLine line;
    line.timeMs = object.value("time_ms", std::int64_t{0});
    line.node = object.value("node", std::string());
    line.event = object.value("event", std::string());
    line.isWarning = object.value("level", std::string()) == "warning";
    for (const auto *commonField : {"time_ms", "node", "event", "level", "incarnation"}) {
        object.erase(commonField);
    }
    line.fields = object.dump();
    return line;
}

}

LogTrace::LogTrace(std::string id)
    : m_id(std::move(id))
{
}

void LogTrace::read(std::istream &input)
{
    for (std::string text; std::getline(input, text);) {
        const auto start = text.find('{');
        auto object = start == std::string::npos ? json() : json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), nullptr, false);
        if (!object.is_object()) {
            ++m_unreadableLines;
        } else if (containsId(object, m_id)) {
            m_lines.push_back(makeLine(std::move(object)));
        }
    }
}

std::vector<TracedLine> LogTrace::lines() const
{
    auto sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(), [](const TracedLine &a, const TracedLine &b) { return a.timeMs < b.timeMs; });
    return sorted;
}

std::optional<TracedLine> LogTrace::firstFailure() const
{
    const auto sorted = lines();
    const auto it = std::find_if(sorted.begin(), sorted.end(), [](const TracedLine &line) { return line.isWarning; });
    return it == sorted.end() ? std::nullopt : std::optional(*it);
}

}
