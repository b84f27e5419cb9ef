#include "standins/keyvaluetable.h"

#include <utility>

namespace Basilbend
{

std::optional<StoreEntry> KeyValueTable::get(const std::string &key, Timestamp now)
{
    expire(now);
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? std::nullopt : std::optional<StoreEntry>({key, it->second.value, it->second.version});
}

std::vector<StoreEntry> KeyValueTable::list(const std::string &prefix, std::uint64_t after, Timestamp now)
{
    expire(now);
    std::vector<StoreEntry> entries;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        if (it->second.version > after) {
            entries.push_back({it->first, it->second.value, it->second.version});
        }
    }
    return entries;
}

Result<std::uint64_t> KeyValueTable::compareAndSwap(const std::string &key, std::uint64_t expected, const std::string &value, Milliseconds lease, Timestamp now)
{
    expire(now);
    const auto it = m_rows.find(key);
    const auto current = it == m_rows.end() ? 0 : it->second.version;
    if (current != expected) {
        return Error{ResultCode::StoreConflict, "the version of " + key + " is " + std::to_string(current)};
    }
    m_rows[key] = {value, ++m_version, lease.count() > 0 ? std::optional<Timestamp>(now + lease) : std::nullopt};
    return m_version;
}

std::size_t KeyValueTable::size() const
{
    return m_rows.size();
}

void KeyValueTable::expire(Timestamp now)
{
    for (auto it = m_rows.begin(); it != m_rows.end();) {
        it = it->second.expires && *it->second.expires <= now ? m_rows.erase(it) : std::next(it);
    }
}

}
