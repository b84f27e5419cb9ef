#include "routing/subsetselector.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <map>

namespace Basilbend
{

SubsetSelector::SubsetSelector(std::size_t count)
    : m_count(count)
{
}

std::vector<std::string> SubsetSelector::choose(const std::string &sidecar, const std::string &region, const std::vector<EntryPlace> &entries) const
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    std::map<std::string, std::string> zones;
    for (const auto &entry : entries) {
        (entry.region == region ? near : far).push_back(entry.name);
        zones[entry.name] = entry.zone;
    }
    const auto ordered = rendezvousOrder(sidecar, near, near.size());
    std::vector<std::string> chosen(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(std::min(m_count, ordered.size())));
    const auto inFirstZone = [&](const std::string &name) { return zones[name] == zones[chosen.front()]; };
    if (chosen.size() > 1 && std::all_of(chosen.begin(), chosen.end(), inFirstZone)) {
        const auto other = std::find_if_not(ordered.begin(), ordered.end(), inFirstZone);
        if (other != ordered.end()) {
            chosen.back() = *other;
        }
    }
    for (const auto &name : rendezvousOrder(sidecar, far, m_count - chosen.size())) {
        chosen.push_back(name);
    }
    return chosen;
}

}
