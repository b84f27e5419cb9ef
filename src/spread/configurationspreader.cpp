#include "spread/configurationspreader.h"

#include <algorithm>

namespace Basilbend
{

ConfigurationSpreader::ConfigurationSpreader(std::string node,
                                             std::uint64_t incarnation,
                                             SpreaderSettings settings,
                                             SpreadDocument document,
                                             FreshnessMonitor &freshness,
                                             SpreaderHooks hooks,
                                             std::uint64_t seed)
    : m_node(std::move(node))
    , m_incarnation(incarnation)
    , m_settings(settings)
    , m_document(std::move(document))
    , m_freshness(freshness)
    , m_hooks(std::move(hooks))
    , m_random(seed)
{
    m_pushed = m_document.revision();
}

void ConfigurationSpreader::setNeighbours(std::vector<Peer> neighbours)
{
    const auto now = m_hooks.now();
    const auto period = static_cast<std::uint64_t>(m_settings.period.count());
    const auto start = m_random.below(period);
    std::vector<Neighbour> list;
    for (auto &peer : neighbours) {
        const auto known = std::find_if(m_neighbours.begin(), m_neighbours.end(), [&](const Neighbour &n) { return n.peer == peer; });
        if (known != m_neighbours.end()) {
            list.push_back(*known);
            continue;
        }
        const auto phase = (start + period * list.size() / neighbours.size()) % period;
        list.push_back({std::move(peer), now + Milliseconds(phase)});
    }
    m_neighbours = std::move(list);
}

void ConfigurationSpreader::tick()
{
    const auto now = m_hooks.now();
    for (auto &neighbour : m_neighbours) {
        if (now < neighbour.next || neighbour.busy) {
            continue;
        }
        // A beat that was missed, for example in a pause, is not made up for.
        neighbour.next = std::max(neighbour.next + m_settings.period, now);
        neighbour.busy = true;
        ++m_counts.heartbeats;
        const auto peer = neighbour.peer;
        exchange(peer, {m_node, m_incarnation, m_document.revision(), {}});
    }
}

void ConfigurationSpreader::exchange(const Peer &peer, const HeartbeatRequest &request)
{
    const auto sentAt = m_hooks.now();
    m_hooks.exchange(peer, request, [this, peer, sentAt](const std::optional<HeartbeatResponse> &response) { finish(peer, sentAt, response); });
}

void ConfigurationSpreader::finish(const Peer &peer, Timestamp sentAt, const std::optional<HeartbeatResponse> &response)
{
    const auto it = std::find_if(m_neighbours.begin(), m_neighbours.end(), [&](const Neighbour &n) { return n.peer == peer; });
    if (it != m_neighbours.end()) {
        it->busy = false;
    }
    if (!response) {
        ++m_counts.unanswered;
        return;
    }
    const auto now = m_hooks.now();
    bool changed = false;
    if (!response->snapshot.empty() && response->revision > m_document.revision() && m_document.replace(response->snapshot)) {
        ++m_counts.snapshotsApplied;
        changed = true;
    }
    changed = takeEdits(response->edits) || changed;
    for (auto stamp : response->stamps) {
        stamp.age += now - sentAt;
        m_freshness.note(stamp, now);
        m_floor.raise(stamp.revision);
    }
    if (changed) {
        pushNew(peer.node);
        if (response->revision > m_document.revision() && it != m_neighbours.end()) {
            exchange(peer, {m_node, m_incarnation, m_document.revision(), {}});
        }
    }
}

bool ConfigurationSpreader::takeEdits(const EditRun &edits)
{
    bool changed = false;
    auto revision = edits.first;
    for (const auto &text : edits.texts) {
        if (revision == m_document.revision() + 1 && m_document.apply(revision, text)) {
            ++m_counts.editsApplied;
            changed = true;
        }
        ++revision;
    }
    return changed;
}

void ConfigurationSpreader::documentChanged()
{
    pushNew({});
}

void ConfigurationSpreader::pushNew(const std::string &except)
{
    const auto revision = m_document.revision();
    m_floor.raise(revision);
    if (revision <= m_pushed) {
        return;
    }
    const auto edits = runAfter(m_pushed);
    m_pushed = revision;
    if (edits.texts.empty()) {
        return;
    }
    const auto neighbours = m_neighbours;
    for (const auto &neighbour : neighbours) {
        if (neighbour.peer.node != except) {
            ++m_counts.pushes;
            exchange(neighbour.peer, {m_node, m_incarnation, revision, edits});
        }
    }
}

EditRun ConfigurationSpreader::runAfter(std::uint64_t revision) const
{
    EditRun run{revision + 1, {}};
    std::size_t bytes = 0;
    for (auto &text : m_document.editsAfter(revision)) {
        bytes += text.size();
        if (bytes > m_settings.maxEditBytes && !run.texts.empty()) {
            break;
        }
        run.texts.push_back(std::move(text));
    }
    return run;
}

HeartbeatResponse ConfigurationSpreader::receive(const HeartbeatRequest &request)
{
    if (takeEdits(request.edits)) {
        pushNew(request.node);
    }
    HeartbeatResponse response;
    response.revision = m_document.revision();
    // After a push the sender has at least what it sent.
    if (request.revision < response.revision) {
        response.edits = runAfter(request.revision);
        if (response.edits.texts.empty()) {
            response.snapshot = m_document.snapshot();
        }
    }
    response.stamps = m_freshness.stamps(m_hooks.now());
    return response;
}

}
