// Measures how the control work scales: heartbeats per node and configuration spreading with the number of processes, batch
// bytes of usage with the request rate, and store calls per duty. Everything runs in one process on virtual time; only the CPU
// times depend on the machine.

#include "leadership/leadership.h"
#include "spread/configurationspreader.h"
#include "spread/neighbourselector.h"
#include "store/fakestore.h"
#include "usage/usagecollector.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <memory>

using namespace Basilbend;

namespace
{

constexpr std::size_t Zones = 24;
constexpr Milliseconds OneWayLatency{1};
/// Size of the request or status line and of the headers that the adapters send with one message, taken from the wire format
/// rather than from sockets.
constexpr std::size_t HeaderBytes = 250;

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// A process of the spreading graph. Its document is a list of edits, identified by their position.
struct Node {
    Peer self;
    std::vector<std::string> edits;
    Timestamp lastEditAt;
    FreshnessMonitor freshness;
    std::unique_ptr<ConfigurationSpreader> spreader;
    bool isStampSource = false;
};

struct Graph {
    VirtualTime time{Timestamp(1000000)};
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, Node *> byName;
    std::uint64_t bytes = 0;
    std::uint64_t exchanges = 0;

    explicit Graph(std::size_t count)
    {
        std::vector<Peer> peers;
        for (std::size_t i = 0; i < count; ++i) {
            const auto name = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8081";
            peers.push_back({name, name, "zone-" + std::to_string(i % Zones)});
        }
        for (const auto &peer : peers) {
            nodes.push_back(std::make_unique<Node>());
            auto &node = *nodes.back();
            node.self = peer;
            byName[peer.node] = &node;
            node.spreader =
                std::make_unique<ConfigurationSpreader>(peer.node, nodes.size(), SpreaderSettings(), document(node), node.freshness, hooks(), nodes.size());
        }
        for (std::size_t i = 0; i < count; ++i) {
            nodes[i]->spreader->setNeighbours(selectNeighbours(peers[i], peers));
            nodes[i]->isStampSource = i < 2 * Zones;
        }
    }

    SpreadDocument document(Node &node)
    {
        return {[&node] { return node.edits.size(); },
                [this, &node](std::uint64_t, const std::string &text) {
                    node.edits.push_back(text);
                    node.lastEditAt = time.now();
                    return true;
                },
                [&node](std::uint64_t after) { return std::vector<std::string>(node.edits.begin() + static_cast<std::ptrdiff_t>(after), node.edits.end()); },
                [] { return std::string(); },
                [](const std::string &) { return false; }};
    }

    SpreaderHooks hooks()
    {
        return {[this] { return time.now(); },
                [this](const Peer &peer, const HeartbeatRequest &request, std::function<void(std::optional<HeartbeatResponse>)> done) {
                    time.schedule(OneWayLatency, [this, target = byName.at(peer.node), text = request.toJson(), done = std::move(done)] {
                        const auto answer = target->spreader->receive(*HeartbeatRequest::fromJson(text)).toJson();
                        bytes += text.size() + answer.size() + 2 * HeaderBytes;
                        ++exchanges;
                        time.schedule(OneWayLatency, [answer, done] { done(HeartbeatResponse::fromJson(answer)); });
                    });
                }};
    }

    void run(int milliseconds)
    {
        constexpr int Tick = 50;
        constexpr int StampPeriod = 500;
        for (int ms = 0; ms < milliseconds; ms += Tick) {
            for (auto &node : nodes) {
                if (node->isStampSource && time.now().milliseconds() % StampPeriod == 0) {
                    node->freshness.note({node->self.zone, true, node->edits.size(), Milliseconds(StampPeriod)}, time.now());
                }
                node->spreader->tick();
            }
            time.advance(Milliseconds(Tick));
        }
    }
};

void measureSpreading(std::size_t count)
{
    Graph graph(count);
    graph.run(5000);
    graph.bytes = 0;
    graph.exchanges = 0;
    const auto cpu = cpuSeconds();
    constexpr int Seconds = 3;
    graph.run(Seconds * 1000);
    const auto nodeSeconds = static_cast<double>(count) * Seconds;
    const auto cpuPerNode = (cpuSeconds() - cpu) / nodeSeconds;
    const auto bytesPerNode = 2 * static_cast<double>(graph.bytes) / nodeSeconds;
    std::vector<std::int64_t> ages;
    std::size_t fresh = 0;
    for (auto &node : graph.nodes) {
        const auto age = node->freshness.age(node->edits.size(), graph.time.now());
        ages.push_back(age.value_or(Milliseconds(99999)).count());
        fresh += age ? 1 : 0;
    }
    std::sort(ages.begin(), ages.end());

    graph.bytes = 0;
    const auto start = graph.time.now();
    auto &first = *graph.nodes.front();
    first.edits.emplace_back(300, 'x');
    first.lastEditAt = start;
    first.spreader->documentChanged();
    graph.run(5000);
    std::vector<std::int64_t> times;
    std::size_t missing = 0;
    for (auto &node : graph.nodes) {
        if (node->edits.empty()) {
            ++missing;
        } else {
            times.emplace_back((node->lastEditAt - start).count());
        }
    }
    std::sort(times.begin(), times.end());
    const auto editBytes = static_cast<double>(graph.bytes) - bytesPerNode / 2 * static_cast<double>(count) * 5;
    std::printf("spread nodes=%zu cpu_us_per_node_s=%.1f bytes_per_node_s=%.0f fresh=%zu age_ms p50=%lld max=%lld edit_ms p50=%lld p99=%lld max=%lld "
                "rounds_p99=%lld missing=%zu edit_bytes_per_node=%.0f\n",
                count,
                cpuPerNode * 1e6,
                bytesPerNode,
                fresh,
                static_cast<long long>(ages[count / 2]),
                static_cast<long long>(ages.back()),
                static_cast<long long>(times[times.size() / 2]),
                static_cast<long long>(times[times.size() * 99 / 100]),
                static_cast<long long>(times.back()),
                static_cast<long long>(times[times.size() * 99 / 100] / OneWayLatency.count()),
                missing,
                editBytes / static_cast<double>(count));
}

void measureUsage(unsigned scale)
{
    constexpr unsigned RequestsPerSecond = 82;
    constexpr unsigned InFlight = 400;
    constexpr int Seconds = 120;
    VirtualTime time(Timestamp(600000000));
    FakeStore store(time, 1);
    const auto now = [&] { return time.now(); };
    UsageCollector collector({"10.0.0.1:8081", "10.0.0.1:8081", 1}, UsageCollectorSettings(), UsageKeys(), store, now);
    Random random(1);
    std::vector<std::uint64_t> running;
    std::uint64_t sequence = 0;
    const auto cpu = cpuSeconds();
    for (int s = 0; s < Seconds; ++s) {
        for (unsigned i = 0; i < RequestsPerSecond * scale; ++i) {
            running.push_back(++sequence);
            if (running.size() > InFlight * scale) {
                std::swap(running[random.below(running.size())], running.back());
                collector.add({{"10.0.0.1:8081", 1, running.back()},
                               "workspace-" + std::to_string(random.below(10)),
                               usageWindow(time.now(), Milliseconds(60000)),
                               UsageCause::Normal,
                               300,
                               256});
                running.pop_back();
            }
        }
        collector.tick();
        time.advance(Milliseconds(1000));
    }
    const auto &counts = store.counts();
    std::printf("usage scale=%u records=%llu batches=%llu bytes_per_batch=%.0f bytes_per_s=%.0f cpu_us_per_record=%.2f fleet_writes_per_s=%.0f\n",
                scale,
                static_cast<unsigned long long>(collector.counts().records),
                static_cast<unsigned long long>(collector.counts().batches),
                static_cast<double>(counts.writtenBytes) / static_cast<double>(collector.counts().batches),
                static_cast<double>(counts.writtenBytes) / Seconds,
                (cpuSeconds() - cpu) * 1e6 / static_cast<double>(collector.counts().records),
                720.0 * static_cast<double>(counts.total()) / Seconds);
}

/// Measures the store calls per second that three candidates for one duty make together.
void measureLeadership()
{
    constexpr int Seconds = 600;
    constexpr int Duties = 25;
    VirtualTime time(Timestamp(1000000));
    FakeStore store(time, 1);
    std::vector<std::unique_ptr<ReleaseLedger>> ledgers;
    std::vector<std::unique_ptr<Leadership>> candidates;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        const ProcessIdentity self{"e" + std::to_string(i), "", i};
        ledgers.push_back(std::make_unique<ReleaseLedger>(self));
        const LeadershipHooks hooks{[&] { return time.now(); }, nullptr, nullptr};
        candidates.push_back(std::make_unique<Leadership>("duty", self, LeadershipSettings(), store, *ledgers.back(), hooks));
        candidates.back()->setCandidate(true);
    }
    for (int s = 0; s < Seconds; ++s) {
        for (auto &candidate : candidates) {
            candidate->tick();
        }
        time.advance(Milliseconds(1000));
    }
    const auto perDuty = static_cast<double>(store.counts().total()) / Seconds;
    std::printf("leadership candidates=3 calls_per_duty_s=%.2f calls_for_25_duties_s=%.0f\n", perDuty, perDuty * Duties);
}

}

int main()
{
    measureLeadership();
    for (const std::size_t count : {670U, 2680U, 10720U}) {
        measureSpreading(count);
    }
    for (const unsigned scale : {1U, 4U, 16U}) {
        measureUsage(scale);
    }
    return 0;
}
