#pragma once

#include "config/configurationedit.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// The configuration in force in a process, and the most recent edits, for other processes that are behind. The revision never
/// decreases: an edit or a snapshot at or below the current revision is ignored.
class ConfigurationState
{
public:
    ConfigurationState();

    std::uint64_t revision() const;

    /// Returns the current snapshot for traffic threads. It does not change while they hold it.
    std::shared_ptr<const Configuration> current() const;

    /// Applies the edit that produces the given revision. Returns false when that revision is not the next one. Fails with an
    /// error of editFromText(), and changes nothing, when the text is not a valid edit.
    Result<bool> apply(std::uint64_t revision, const std::string &text);

    /// Replaces the configuration with a newer one. Returns false when it is not newer.
    bool replace(Configuration configuration);

    /// Returns the edits after a revision, oldest first. Empty when there are none or when some are no longer stored.
    std::vector<std::string> editsAfter(std::uint64_t revision) const;

private:
    std::shared_ptr<const Configuration> m_current;
    std::deque<std::string> m_recentEdits;
};

}
