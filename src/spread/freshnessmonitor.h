#pragma once

#include "base/timestamp.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// What a watcher found out about the store, as it is passed from process to process. Times are ages and not clock readings,
/// so that clocks need not agree.
struct FreshnessStamp {
    /// The watcher's zone.
    std::string zone;

    /// False: the watcher could not reach the store ("store down").
    bool storeReachable = true;

    /// At the time of the stamp no revision above this one was accepted; for "store down", the watcher knew of none.
    std::uint64_t revision = 0;

    /// Time since the watcher asked the store.
    Milliseconds age{0};
};

/// Decides whether a process can still count on hearing of withdrawals. It can when a watcher reached the store within the
/// limit, or when watchers in more than half of the zones could not reach it, for then nobody can accept a withdrawal.
class FreshnessMonitor
{
public:
    explicit FreshnessMonitor(Milliseconds limit = Milliseconds(4000));

    /// The zones that exist, from the host list.
    void setZones(std::set<std::string> zones);

    /// Takes in a stamp whose age is counted up to now. Stamps come from this process's own watcher or out of answers to its
    /// own requests with the whole round trip added: a request that waited in a paused process would look younger than it is.
    void note(const FreshnessStamp &stamp, Timestamp now);

    /// A stamp counts only for a process that has its revision.
    bool isFresh(std::uint64_t ownRevision, Timestamp now) const
    {
        return now < freshUntil(ownRevision);
    }

    /// The time up to which the stamps so far keep the process fresh. Threads that serve requests compare it with their clock:
    /// after a pause they may run before the control thread does.
    Timestamp freshUntil(std::uint64_t ownRevision) const;

    /// Age of the youngest stamp of a reached store that counts.
    std::optional<Milliseconds> age(std::uint64_t ownRevision, Timestamp now) const;

    /// The stamps worth passing on, with their ages now.
    std::vector<FreshnessStamp> stamps(Timestamp now) const;

private:
    struct Seen {
        Timestamp issuedAt;
        std::uint64_t revision = 0;
    };

    Milliseconds m_limit;
    std::set<std::string> m_zones;
    /// Stamps of a reached store by revision, the youngest of each; older ones of lower revisions are dropped.
    std::map<std::uint64_t, std::pair<std::string, Timestamp>> m_reached;
    std::map<std::string, Seen> m_down;
    /// The highest revision that any stamp named. A stamp of an unreachable store with a lower revision proves nothing, because some
    /// process has seen a newer configuration.
    std::uint64_t m_highestRevision = 0;
};

}
