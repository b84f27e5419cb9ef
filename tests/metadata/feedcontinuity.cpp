#include "base/random.h"
#include "metadata/feedprocess.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace Basilbend;

namespace
{

/// Records the values of each key over time, as the reference for copies.
class StoreHistory
{
public:
    void record(Timestamp at, const std::string &key, std::optional<std::string> value)
    {
        m_changes[key].push_back({at, std::move(value)});
    }

    /// Whether the key had the value at the given time or later.
    bool wasValueAtOrAfter(const std::string &key, Timestamp at, const std::optional<std::string> &value) const
    {
        const auto &changes = m_changes.at(key);
        for (std::size_t i = 0; i < changes.size(); ++i) {
            const bool isOver = i + 1 < changes.size() && changes[i + 1].at < at;
            if (!isOver && changes[i].value == value) {
                return true;
            }
        }
        return !value && changes.front().at >= at;
    }

    std::vector<std::string> keys() const
    {
        std::vector<std::string> keys;
        for (const auto &[key, changes] : m_changes) {
            keys.push_back(key);
        }
        return keys;
    }

private:
    struct Change {
        Timestamp at;
        std::optional<std::string> value;
    };

    std::map<std::string, std::vector<Change>> m_changes;
};

std::optional<std::string> valueIn(const std::map<std::string, std::string> &copy, const std::string &key)
{
    const auto it = copy.find(key);
    return it == copy.end() ? std::nullopt : std::optional<std::string>(it->second);
}

/// Simulates followers of one hub while keys change in random order, sizes and pauses, and the hub lists again, is paused or
/// loses the store.
class ContinuityRun : public FleetFixture
{
public:
    explicit ContinuityRun(std::uint64_t seed)
        : m_random(seed)
        , m_seed(seed)
    {
        store.pageItems = 2 + m_random.below(4);
        addFollowers(FeedHub::MinFollowers + 1);
    }

    void simulate(int steps)
    {
        run(5000);
        for (int i = 0; i < steps; ++i) {
            step();
            checkCopies();
        }
        hub->isPaused = false;
        store.faults = {};
        run(8000);
        checkCopies();
        for (const auto &process : followers) {
            BOOST_TEST(process->copy == hub->copy, "seed " << m_seed << ": the copy of a follower differs from the copy of the hub at the end of the run");
        }
    }

private:
    void step()
    {
        switch (m_random.below(12)) {
        case 0:
            hub->feed.start();
            break;
        case 1:
            hub->isPaused = !hub->isPaused;
            break;
        case 2:
            store.faults.doesNotAnswer = !store.faults.doesNotAnswer && m_random.below(3) == 0;
            break;
        case 3:
            erase();
            break;
        default:
            put();
        }
        advance();
    }

    std::string randomKey()
    {
        return "op/" + std::to_string(m_random.below(9));
    }

    void put()
    {
        const auto key = randomKey();
        auto value = std::to_string(++m_lastValue);
        if (m_random.below(4) == 0) {
            value.append(FeedHub::MaxValueBytes, 'x');
        }
        store.put(key, value);
        m_history.record(time.now(), key, value);
    }

    void erase()
    {
        const auto key = randomKey();
        if (store.peek(key) != nullptr) {
            store.erase(key);
            m_history.record(time.now(), key, std::nullopt);
        }
    }

    /// Advances the time with or without deliveries in between, so that lines arrive separately, joined or split.
    void advance()
    {
        switch (m_random.below(3)) {
        case 0:
            time.advance(Milliseconds(1 + m_random.below(12)));
            if (m_random.below(2) == 0) {
                deliver();
            }
            break;
        case 1:
            run(10 + static_cast<int>(m_random.below(60)));
            break;
        default:
            run(10 + static_cast<int>(m_random.below(900)));
        }
    }

    void checkCopies()
    {
        for (const auto &process : followers) {
            const auto stateVerifiedAt = process->feed.verifiedAt();
            if (!stateVerifiedAt) {
                continue;
            }
            for (const auto &key : m_history.keys()) {
                const auto held = valueIn(process->copy, key);
                BOOST_REQUIRE_MESSAGE(m_history.wasValueAtOrAfter(key, *stateVerifiedAt, held),
                                      "seed " << m_seed << ": " << key << " in a copy is older than its verification time, which is "
                                              << (time.now() - *stateVerifiedAt).count() << " ms ago");
            }
        }
    }

    Random m_random;
    std::uint64_t m_seed;
    StoreHistory m_history;
    std::uint64_t m_lastValue = 0;
};

}

BOOST_AUTO_TEST_SUITE(metadata, *boost::unit_test::label("metadata"))

// Guards against a follower that misses a change: one that only the pages of the hub's own listing contained is not among
// the recorded changes, so the hub cannot report it to a follower whose copy is older than the listing.
BOOST_FIXTURE_TEST_CASE(a_follower_behind_a_new_listing_is_refused_or_sent_what_only_the_listing_showed, FleetFixture)
{
    store.pageItems = 2;
    for (const auto *key : {"op/a", "op/b", "op/c", "op/d", "op/e"}) {
        store.put(key, "1");
    }
    addFollowers(6);
    run(15000);
    BOOST_REQUIRE(followingCount() == 6U);
    const auto before = hub->feed.revision();
    hub->feed.start();
    time.advance(Milliseconds(6));
    store.put("op/z", "1");
    run(8000);
    BOOST_REQUIRE(followingCount() == 6U);
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    WebClient client(io, [this] { return time.now(); });
    FeedFollower follower(client, virtualLoop(time), log, {hub->address()}, "late");
    bool isReported = false;
    bool isRefused = false;
    const auto recordUpdate = [&isReported](const FeedUpdate &update, Timestamp) {
        isReported = isReported || std::any_of(update.items.begin(), update.items.end(), [](const MetadataItem &item) { return item.key == "op/z"; });
    };
    follower.start(FollowedPrefix, before, {recordUpdate, [&isRefused] { isRefused = true; }});
    run(2000);
    BOOST_TEST((isReported || isRefused));
    follower.stop(false);
}

/// A process that follows a peer whose updates are written by the test.
struct ScriptedHubFixture : FleetFixture {
    std::shared_ptr<ServerExchange> exchange;
    WebServer server{io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &asked) {
                         exchange = asked;
                         asked->beginStream({200, {}});
                     })};
    FeedProcess process{io, time, store, "n", {"127.0.0.1:" + std::to_string(server.port())}};

    ScriptedHubFixture()
    {
        run(100);
        BOOST_REQUIRE(exchange);
        BOOST_REQUIRE(!process.feed.isWatchingStore());
    }
};

// Guards against a large configuration that a follower never receives because the next update arrived in the same read: it
// would accept a withdrawn key and refuse a new one until its next listing.
BOOST_FIXTURE_TEST_CASE(an_omitted_large_value_is_read_from_the_store_when_the_next_update_arrives_with_it, ScriptedHubFixture)
{
    const std::string large(FeedHub::MaxValueBytes + 1, 'x');
    store.put("op/config", large);
    FeedUpdate withoutLarge;
    withoutLarge.baseRevision = process.feed.revision();
    withoutLarge.revision = withoutLarge.baseRevision + 1;
    withoutLarge.isIncomplete = true;
    FeedUpdate next;
    next.baseRevision = withoutLarge.revision;
    next.revision = next.baseRevision + 1;
    next.items.push_back({"op/other", "1", next.revision, 0, 0, false});
    store.put("op/other", "1");
    exchange->sendChunk(encodeFeedUpdate(withoutLarge) + "\n" + encodeFeedUpdate(next) + "\n");
    run(1000);
    BOOST_TEST((process.copy["op/config"] == large));
    BOOST_TEST(process.copy["op/other"] == "1");
}

// Guards against a follower that applies an update although an earlier one is missing.
BOOST_FIXTURE_TEST_CASE(a_follower_disconnects_when_an_update_is_missing, ScriptedHubFixture)
{
    store.put("op/a", "1");
    FeedUpdate update;
    update.baseRevision = process.feed.revision() + 1;
    update.revision = update.baseRevision + 1;
    update.verifiedOffset = Milliseconds(90);
    update.items.push_back({"op/b", "2", update.revision, 0, 0, false});
    exchange->sendChunk(encodeFeedUpdate(update) + "\n");
    run(50);
    BOOST_TEST(process.copy.count("op/b") == 0U);
    BOOST_TEST(process.copy.count("op/a") == 1U);
}

// Guards against any change lost between hub and follower: a copy must equal the state of the store at its verification
// time, or a later one.
BOOST_AUTO_TEST_CASE(a_copy_is_never_older_than_its_verification_time)
{
    for (std::uint64_t seed = 1; seed <= 120; ++seed) {
        ContinuityRun(seed).simulate(120);
    }
}

BOOST_AUTO_TEST_SUITE_END()
