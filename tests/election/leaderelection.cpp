#include "election/leaderelection.h"

#include "metadata/fakemetadatastore.h"
#include "metadata/heldfeedstore.h"
#include "metadata/latecommitstore.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace Basilbend;

namespace
{

constexpr int FirstPort = 8000;

/// A process that may become leader. While it is paused, its timers and the answers to its calls are deferred.
struct Candidate {
    Candidate(VirtualTime &clock, MetadataStore &store, const std::string &node, std::uint64_t seed)
        : address("127.0.0.1:" + std::to_string(FirstPort + node.front()))
        , time(clock)
        , random(seed)
    {
        ElectionSettings settings;
        settings.node = node;
        settings.incarnation = node + std::to_string(seed);
        settings.address = address;
        election = std::make_unique<LeaderElection>(
            store,
            loop(),
            log,
            random,
            settings,
            ElectionHooks{[this](bool continued) {
                              ++elected;
                              wasContinued = continued;
                          },
                          [this] { ++deposed; },
                          [this](const std::string &address, std::function<void(bool)> callback) { askLeader(address, std::move(callback)); }});
        election->start();
    }

    EventLoop loop()
    {
        return {[this] { return time.now(); },
                [this](Milliseconds span, std::function<void()> function) {
                    time.schedule(span, [this, function = std::move(function)] { runUnlessPaused(function); });
                }};
    }

    void runUnlessPaused(const std::function<void()> &function)
    {
        if (isPaused) {
            deferred.push_back(function);
        } else {
            function();
        }
    }

    void resume()
    {
        isPaused = false;
        const auto functions = std::move(deferred);
        deferred.clear();
        for (const auto &function : functions) {
            function();
        }
    }

    std::string address;
    /// Answers like the process at the address, or with false if it does not run.
    std::function<void(const std::string &address, std::function<void(bool)> callback)> askLeader =
        [](const std::string &, const std::function<void(bool)> &callback) { callback(false); };

    VirtualTime &time;
    Random random;
    EventLog log{EventLogSettings(), [this] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); }};
    std::unique_ptr<LeaderElection> election;
    bool isPaused = false;
    /// Stands for a process that runs, but whose calls to the store take long.
    bool answersWhilePaused = false;
    std::vector<std::function<void()>> deferred;
    int elected = 0;
    int deposed = 0;
    bool wasContinued = false;
};

struct ElectionFixture {
    VirtualTime time{Timestamp(1'000'000)};
    FakeMetadataStore store{time};
    std::vector<std::unique_ptr<Candidate>> nodes;
    /// Killed processes. Their scheduled functions still run, but have no effect.
    std::vector<std::unique_ptr<Candidate>> ended;

    void kill(Candidate *candidate)
    {
        candidate->isPaused = true;
        const auto it = std::find_if(nodes.begin(), nodes.end(), [candidate](const auto &node) { return node.get() == candidate; });
        ended.push_back(std::move(*it));
        nodes.erase(it);
    }

    Candidate &add(const std::string &node)
    {
        nodes.push_back(std::make_unique<Candidate>(time, store, node, nodes.size() + ended.size() + 1));
        nodes.back()->askLeader = [this](const std::string &address, const std::function<void(bool)> &callback) {
            const auto it = std::find_if(nodes.begin(), nodes.end(), [&address](const auto &other) { return other->address == address; });
            callback(it != nodes.end() && (!(*it)->isPaused || (*it)->answersWhilePaused) && (*it)->election->wantsToContinue());
        };
        return *nodes.back();
    }
    Candidate *leader() const
    {
        Candidate *found = nullptr;
        for (const auto &node : nodes) {
            if (node->election->mayAct()) {
                BOOST_TEST((found == nullptr), "more than one leader may act");
                found = node.get();
            }
        }
        return found;
    }
    /// Advances the time and checks at each step that at most one process may act.
    void run(int ms)
    {
        for (int i = 0; i < ms; i += 10) {
            time.advance(Milliseconds(10));
            leader();
        }
    }
};

}

BOOST_AUTO_TEST_SUITE(election, *boost::unit_test::label("election"))

BOOST_FIXTURE_TEST_CASE(one_of_several_leads_and_keeps_its_lease, ElectionFixture)
{
    for (const auto *node : {"a", "b", "c"}) {
        add(node);
    }
    run(500);
    auto *first = leader();
    BOOST_REQUIRE(first != nullptr);
    const auto term = first->election->term();
    run(20000);
    BOOST_TEST((leader() == first));
    BOOST_TEST(first->election->term() == term);
    BOOST_TEST(store.peek(LeaderElection::holderKey())->revision == term);
}

// Guards against seconds without a leader when only the leader's process was killed and its host restarts it at once.
BOOST_FIXTURE_TEST_CASE(a_restarted_leader_does_not_wait_for_the_lease_of_its_earlier_incarnation, ElectionFixture)
{
    add("a");
    run(500);
    auto *first = leader();
    BOOST_REQUIRE(first != nullptr);
    const auto oldTerm = first->election->term();
    add("b");
    run(1000);
    kill(first);
    auto &again = add("a");
    run(300);
    BOOST_REQUIRE((leader() == &again));
    BOOST_TEST(again.election->term() > oldTerm);
    BOOST_TEST(!again.wasContinued);
    // The expiry of the old lease must not affect the new leader.
    run(10000);
    BOOST_TEST((leader() == &again));
    BOOST_TEST(again.elected == 1);
}

// Guards against a leader that continues to act after a pause during which its lease has expired and another process has
// become leader.
BOOST_FIXTURE_TEST_CASE(a_paused_leader_may_not_act_when_it_resumes, ElectionFixture)
{
    add("a");
    add("b");
    run(500);
    auto *paused = leader();
    const auto oldTerm = paused->election->term();
    paused->isPaused = true;
    for (int i = 0; i < 400; ++i) {
        time.advance(Milliseconds(10));
    }
    BOOST_TEST(!paused->election->mayAct());
    paused->resume();
    BOOST_TEST(!paused->election->mayAct());
    run(1000);
    auto *next = leader();
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST((next != paused));
    BOOST_TEST(next->election->term() > oldTerm);
    BOOST_TEST(paused->deposed == 1);
}

// Simulates the loss of the leader's host. Guards against late steps because there is no leader for too long: a step has 7.5
// s, and its longest samples need 6 s.
BOOST_FIXTURE_TEST_CASE(a_lost_leader_is_replaced_within_two_seconds, ElectionFixture)
{
    for (const auto *node : {"a", "b", "c"}) {
        add(node);
    }
    run(5000);
    auto *lost = leader();
    BOOST_REQUIRE(lost != nullptr);
    kill(lost);
    run(1900);
    BOOST_TEST((leader() != nullptr));
}

// Guards against a leader that loses its lease when the store is slow and each renewal takes 300 ms.
BOOST_FIXTURE_TEST_CASE(a_leader_keeps_its_lease_while_the_store_is_slow, ElectionFixture)
{
    add("a");
    add("b");
    run(500);
    auto *first = leader();
    BOOST_REQUIRE(first != nullptr);
    const auto term = first->election->term();
    store.latency = Milliseconds(300);
    for (int i = 0; i < 1000; ++i) {
        run(10);
        BOOST_TEST((leader() == first));
    }
    BOOST_TEST(first->election->term() == term);
}

BOOST_FIXTURE_TEST_CASE(a_leader_that_resigns_is_replaced_at_once, ElectionFixture)
{
    add("a");
    add("b");
    run(500);
    auto *first = leader();
    first->election->resign();
    run(400);
    BOOST_REQUIRE(leader() != nullptr);
    BOOST_TEST((leader() != first));
}

// An outage ends the lease, but no other process led meanwhile, so the state of the leader is still valid.
BOOST_FIXTURE_TEST_CASE(a_leader_that_returns_after_an_outage_continues, ElectionFixture)
{
    auto &only = add("a");
    run(500);
    store.faults.refuses = true;
    run(5000);
    BOOST_TEST(!only.election->mayAct());
    BOOST_TEST(only.election->timeSinceLeaseExpiry().count() > 2000);
    BOOST_TEST(only.deposed == 0);
    store.faults.refuses = false;
    run(2000);
    BOOST_TEST(only.election->mayAct());
    BOOST_TEST(only.elected == 2);
    BOOST_TEST(only.wasContinued);
}

// Guards against a candidate that does not notice its election because the answer to its commit was lost.
BOOST_FIXTURE_TEST_CASE(a_candidate_whose_commit_answer_was_lost_reads_the_result, ElectionFixture)
{
    store.faults.lostCommits = 1;
    auto &only = add("a");
    run(1000);
    BOOST_TEST(only.election->mayAct());
    BOOST_TEST(only.election->term() == store.peek(LeaderElection::holderKey())->revision);
}

// Guards against a leader whose record is bound to a lease that it does not renew: the commit of its first candidacy is executed late, and
// its second one takes that record for its own.
BOOST_FIXTURE_TEST_CASE(a_record_of_an_earlier_candidacy_is_not_taken_for_that_of_the_current_one, ElectionFixture)
{
    LateCommitStore late(store);
    Candidate only(time, late, "a", 1);
    for (int i = 0; i < 400; ++i) {
        time.advance(Milliseconds(10));
        const auto *holder = store.peek(LeaderElection::holderKey());
        BOOST_TEST((!only.election->mayAct() || (holder != nullptr && decodeLeaderRecord(holder->value)->attempt == 3U)));
    }
    BOOST_TEST(only.election->mayAct());
}

// Guards against a leader that goes on with its old state after another one has led: its feed lost the history of that time, and the
// listing shows no holder.
BOOST_FIXTURE_TEST_CASE(a_former_leader_whose_feed_missed_its_successor_does_not_continue, ElectionFixture)
{
    HeldFeedStore held(store, "leader/");
    Candidate first(time, held, "a", 1);
    run(1000);
    BOOST_REQUIRE(first.election->mayAct());
    held.isHeld = true;
    first.isPaused = true;
    run(3000);
    auto &second = add("b");
    run(1000);
    BOOST_REQUIRE(second.election->mayAct());
    second.election->resign();
    run(200);
    store.faults.compactedRevision = store.peek("leader/recent")->revision + 1;
    held.releaseWithLoss();
    first.resume();
    run(8000);
    BOOST_TEST(first.election->mayAct());
    BOOST_TEST(first.deposed == 1);
    BOOST_TEST(!first.wasContinued);
}

// Guards against two leaders that alternate faster than the receivers of orders allow.
BOOST_AUTO_TEST_CASE(a_former_leader_waits_before_it_runs_again)
{
    const CandidacyRule rule;
    const Timestamp start(10'000);
    BOOST_TEST(rule.isEligible("a", {}, start, std::nullopt, start));
    BOOST_TEST(rule.isEligible("a", {"a", "b"}, start, std::nullopt, start));
    BOOST_TEST(rule.isEligible("c", {"a", "b"}, start, std::nullopt, start));
    BOOST_TEST(!rule.isEligible("b", {"a", "b"}, start, std::nullopt, start + Milliseconds(3000)));
    BOOST_TEST(rule.isEligible("b", {"a", "b"}, start, std::nullopt, start + rule.reelectionDelay));
    BOOST_TEST(!rule.isEligible("b", {"a", "b"}, start, start + Milliseconds(9000), start + Milliseconds(10000)));
    BOOST_TEST((withNewestLeader("b", {"a", "b", "c"}) == std::vector<std::string>{"b", "a", "c"}));
    BOOST_TEST(withNewestLeader("n", std::vector<std::string>(20, "x")).size() == 8U);
}

// Guards against the loss of all running items when an outage of the store outlasts the lease and another process is faster than the
// leader, which still runs and only has not noticed yet that the store is back.
BOOST_FIXTURE_TEST_CASE(a_leader_that_runs_on_through_an_outage_leads_again, ElectionFixture)
{
    for (const auto *node : {"a", "b", "c", "d"}) {
        add(node);
    }
    run(4000);
    auto *first = leader();
    BOOST_REQUIRE(first != nullptr);
    for (int i = 0; i < 20; ++i) {
        store.faults.refuses = true;
        run(3000 + 10 * i);
        store.faults.refuses = false;
        // The leader's own calls come back later than those of the others.
        first->answersWhilePaused = true;
        first->isPaused = true;
        run(300);
        first->resume();
        run(1500);
        BOOST_TEST((leader() == first));
        BOOST_TEST(first->wasContinued);
        BOOST_TEST(first->deposed == 0);
    }
}

// Guards against a longer time without a leader when the last one does not answer.
BOOST_FIXTURE_TEST_CASE(a_leader_that_does_not_answer_is_replaced_as_soon_as_its_lease_has_expired, ElectionFixture)
{
    for (const auto *node : {"a", "b", "c"}) {
        add(node);
    }
    run(500);
    auto *first = leader();
    BOOST_REQUIRE(first != nullptr);
    kill(first);
    const auto killedAt = time.now();
    while (leader() == nullptr && time.now() - killedAt < Milliseconds(5000)) {
        run(10);
    }
    // The lease, the jitter and the calls of a candidacy; no time for the return of the leader.
    BOOST_TEST((time.now() - killedAt).count() <= 1500 + 120 + 300);
}

// Guards against a hand-over that another process than the chosen one wins, which may itself be about to leave.
BOOST_FIXTURE_TEST_CASE(the_process_that_a_leader_has_chosen_follows_it, ElectionFixture)
{
    for (const auto *node : {"a", "b", "c", "d"}) {
        add(node);
    }
    run(5000);
    for (int i = 0; i < 10; ++i) {
        auto *first = leader();
        BOOST_REQUIRE(first != nullptr);
        first->election->requestSuccessor();
        run(100);
        const auto offers = first->election->successorOffers();
        BOOST_REQUIRE(offers.size() == 3U);
        const auto &chosen = offers[static_cast<std::size_t>(i) % offers.size()];
        first->election->nameSuccessor(chosen, [first](bool isNamed) {
            BOOST_TEST(isNamed);
            first->election->yield();
        });
        run(100);
        BOOST_REQUIRE(leader() != nullptr);
        BOOST_TEST((leader()->address == "127.0.0.1:" + std::to_string(FirstPort + chosen.front())));
        run(5000);
        BOOST_TEST((leader()->address == "127.0.0.1:" + std::to_string(FirstPort + chosen.front())));
    }
}

// Guards against open batches that nobody runs because the process that a leader has chosen ends before it follows.
BOOST_FIXTURE_TEST_CASE(a_leader_that_yielded_in_vain_leads_again_soon, ElectionFixture)
{
    auto &first = add("a");
    run(500);
    auto &second = add("b");
    run(4000);
    first.election->requestSuccessor();
    run(100);
    BOOST_REQUIRE((first.election->successorOffers() == std::vector<std::string>{"b"}));
    first.election->nameSuccessor("b", [this, &first, &second](bool) {
        kill(&second);
        first.election->yield();
    });
    run(1500);
    BOOST_TEST((leader() == &first));
    BOOST_TEST(!first.wasContinued);
    BOOST_TEST(first.election->successorOffers().empty());
    BOOST_TEST(first.deposed == 0);
}

// Guards against a hand-over to a process that could not take it: one that is suspended or cut off hears nothing of the store.
BOOST_FIXTURE_TEST_CASE(a_process_that_cannot_lead_makes_no_offer, ElectionFixture)
{
    auto &first = add("a");
    run(500);
    HeldFeedStore held(store, "leader/");
    Candidate other(time, held, "b", 9);
    run(4000);
    held.isHeld = true;
    first.election->requestSuccessor();
    run(2000);
    BOOST_TEST(first.election->successorOffers().empty());
    BOOST_TEST((leader() == &first));
    held.release();
    run(500);
    BOOST_TEST((first.election->successorOffers() == std::vector<std::string>{"b"}));
    // The offer ends with its lease, so the leader asks anew.
    held.isHeld = true;
    run(6000);
    BOOST_TEST(first.election->successorOffers().empty());
    first.election->requestSuccessor();
    run(500);
    BOOST_TEST(first.election->successorOffers().empty());
}

// Guards against a process that starts after the request and is never asked.
BOOST_FIXTURE_TEST_CASE(a_process_that_starts_later_offers_itself, ElectionFixture)
{
    auto &first = add("a");
    run(500);
    first.election->requestSuccessor();
    run(5000);
    BOOST_TEST(first.election->successorOffers().empty());
    add("b");
    run(300);
    BOOST_TEST((first.election->successorOffers() == std::vector<std::string>{"b"}));
}

// Guards against calls to the store by each process while no host is to be emptied.
BOOST_FIXTURE_TEST_CASE(nothing_is_written_for_a_successor_without_a_request, ElectionFixture)
{
    add("a");
    add("b");
    run(20000);
    BOOST_TEST((store.keysBelow("leader/") == std::vector<std::string>{"leader/holder", "leader/recent"}));
}

BOOST_AUTO_TEST_SUITE_END()
