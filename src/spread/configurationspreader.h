#pragma once

#include "base/random.h"
#include "spread/heartbeat.h"
#include "spread/peer.h"
#include "spread/revisionfloor.h"

#include <functional>

namespace Basilbend
{

/// The document that is spread. The spreader knows nothing of its content.
struct SpreadDocument {
    std::function<std::uint64_t()> revision;

    /// Applies the edit that leads to the revision. False when nothing changed: old, or edits in between are missing.
    std::function<bool(std::uint64_t revision, const std::string &text)> apply;

    /// The edits after a revision, or nothing when they are no longer kept.
    std::function<std::vector<std::string>(std::uint64_t revision)> editsAfter;

    /// The whole document, and its replacement by a newer one; false when it is not newer or not readable.
    std::function<std::string()> snapshot;
    std::function<bool(const std::string &text)> replace;
};

struct SpreaderHooks {
    NowFunction now;

    /// Sends a heartbeat or push; calls back exactly once, with nothing when no answer came.
    std::function<void(const Peer &, const HeartbeatRequest &, std::function<void(std::optional<HeartbeatResponse>)>)> exchange;
};

struct SpreaderSettings {
    /// One heartbeat to each neighbour per period, at times spread over it.
    Milliseconds period{1000};

    /// Bound on the edits in one message; the rest follows at once.
    std::size_t maxEditBytes = 256 * 1024;
};

struct SpreaderCounts {
    std::uint64_t heartbeats = 0;
    std::uint64_t pushes = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t editsApplied = 0;
    std::uint64_t snapshotsApplied = 0;
};

/// Brings configuration edits and freshness stamps to all processes: new edits are pushed to the neighbours at once, and
/// heartbeats fetch whatever a push missed.
class ConfigurationSpreader
{
public:
    ConfigurationSpreader(std::string node,
                          std::uint64_t incarnation,
                          SpreaderSettings settings,
                          SpreadDocument document,
                          FreshnessMonitor &freshness,
                          SpreaderHooks hooks,
                          std::uint64_t seed);
    ConfigurationSpreader(const ConfigurationSpreader &) = delete;
    ConfigurationSpreader &operator=(const ConfigurationSpreader &) = delete;

    void setNeighbours(std::vector<Peer> neighbours);

    /// Sends the heartbeats that are due; call it about ten times per period.
    void tick();

    /// Pushes what is new in the document; called after a watcher or an operator's edit moved it on.
    void documentChanged();

    /// Takes in an answer to a heartbeat that another component sent at the given time.
    void absorb(const Peer &peer, Timestamp sentAt, const HeartbeatResponse &response)
    {
        finish(peer, sentAt, response);
    }

    /// Answers a neighbour.
    HeartbeatResponse receive(const HeartbeatRequest &request);

    /// The highest revision heard of.
    const RevisionFloor &floor() const
    {
        return m_floor;
    }
    const SpreaderCounts &counts() const
    {
        return m_counts;
    }

private:
    struct Neighbour {
        Peer peer;
        Timestamp next;
        bool busy = false;
    };

    void exchange(const Peer &peer, const HeartbeatRequest &request);
    void finish(const Peer &peer, Timestamp sentAt, const std::optional<HeartbeatResponse> &response);
    bool takeEdits(const EditRun &edits);
    void pushNew(const std::string &except);
    EditRun runAfter(std::uint64_t revision) const;

    const std::string m_node;
    const std::uint64_t m_incarnation;
    const SpreaderSettings m_settings;
    const SpreadDocument m_document;
    FreshnessMonitor &m_freshness;
    const SpreaderHooks m_hooks;
    Random m_random;
    SpreaderCounts m_counts;
    RevisionFloor m_floor;
    std::uint64_t m_pushed = 0;
    std::vector<Neighbour> m_neighbours;
};

}
