#include "scheduling/itemtext.h"

#include <algorithm>

namespace Basilbend
{

bool ItemText::append(std::uint64_t id, std::string data, std::uint64_t version)
{
    if (!m_events.empty() && id != m_lastId + 1) {
        return false;
    }
    m_bytes += data.size();
    m_events.push_back({std::move(data), version});
    m_lastId = id;
    return true;
}

std::vector<std::uint64_t> ItemText::versions() const
{
    std::vector<std::uint64_t> versions;
    for (const auto &event : m_events) {
        versions.push_back(event.version);
    }
    std::sort(versions.begin(), versions.end());
    versions.erase(std::unique(versions.begin(), versions.end()), versions.end());
    return versions;
}

bool ItemText::hasMinimumVersion(std::uint64_t minimumVersion) const
{
    return std::all_of(m_events.begin(), m_events.end(), [minimumVersion](const TextEvent &event) { return event.version >= minimumVersion; });
}

bool ItemText::hasOnlyVersion(std::uint64_t version) const
{
    return std::all_of(m_events.begin(), m_events.end(), [version](const TextEvent &event) { return event.version == version; });
}

std::string ItemText::joined() const
{
    std::string text;
    for (const auto &event : m_events) {
        if (&event != &m_events.front()) {
            text.push_back('\n');
        }
        text.append(event.data);
    }
    return text;
}

void ItemText::clear()
{
    m_events.clear();
    m_lastId = 0;
    m_bytes = 0;
}

}
