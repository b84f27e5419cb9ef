#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Basilbend
{

/// An entry that a sidecar can report to.
struct EntryPlace {
    std::string name;
    std::string region;
    std::string zone;
};

/// Chooses the entries that a sidecar reports its load to, by rendezvous order: the region of the sidecar first, other regions
/// only when it has too few. At least two zones are covered where the region has them.
class SubsetSelector
{
public:
    explicit SubsetSelector(std::size_t count);

    std::vector<std::string> choose(const std::string &sidecar, const std::string &region, const std::vector<EntryPlace> &entries) const;

private:
    std::size_t m_count;
};

}
