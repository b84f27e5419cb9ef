#include "scheduling/rewardorder.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Basilbend;

namespace
{

/// Simulates texts that finish together, at endpoints that need a fixed time for each call.
struct BurstSimulation {
    static constexpr int Endpoints = 3;
    static constexpr int Slots = 6;
    static constexpr int CallMs = 30;

    struct Text {
        int group = 0;
        bool alwaysFails = false;
        int failures = 0;
        bool isDone = false;
        int runningUntil = -1;
        int doneAt = 0;
    };

    std::vector<Text> texts;
    int mostRunning = 0;

    int running() const
    {
        return static_cast<int>(std::count_if(texts.begin(), texts.end(), [](const Text &text) { return text.runningUntil >= 0; }));
    }

    void step(int now)
    {
        for (auto &text : texts) {
            if (text.runningUntil == now) {
                text.runningUntil = -1;
                text.isDone = !text.alwaysFails;
                text.doneAt = now;
                text.failures += text.alwaysFails ? 1 : 0;
            }
        }
        std::vector<WaitingReward> waiting;
        for (std::size_t i = 0; i < texts.size(); ++i) {
            if (!texts[i].isDone && texts[i].runningUntil < 0) {
                waiting.push_back({i, texts[i].failures, static_cast<std::size_t>(texts[i].group % 2), Timestamp(1000)});
            }
        }
        for (const auto i : orderRewards(waiting)) {
            if (running() < Endpoints * maxRewardCalls(Slots)) {
                texts[i].runningUntil = now + CallMs;
            }
        }
        mostRunning = std::max(mostRunning, running());
    }
};

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// Finishes 384 texts of a step at once, one in twenty of which can never be scored, with three endpoints of six slots.
// Guards against live requests that find no slot, and against groups that wait for texts that always fail.
BOOST_AUTO_TEST_CASE(a_burst_of_finished_texts_leaves_slots_to_live_requests_and_completes_whole_groups_first)
{
    BurstSimulation simulation;
    for (int i = 0; i < 384; ++i) {
        simulation.texts.push_back({i / 16, i % 20 == 7});
    }
    for (int now = 0; now < 1600; ++now) {
        simulation.step(now);
    }
    BOOST_TEST(simulation.mostRunning == BurstSimulation::Endpoints * BurstSimulation::Slots / 2);
    int lastOfWhole = 0;
    int firstOfOthers = 1600;
    for (const auto &text : simulation.texts) {
        BOOST_TEST((text.isDone || text.alwaysFails));
        if (text.isDone && text.group % 2 == 0) {
            lastOfWhole = std::max(lastOfWhole, text.doneAt);
        } else if (text.isDone) {
            firstOfOthers = std::min(firstOfOthers, text.doneAt);
        }
    }
    BOOST_TEST(lastOfWhole <= firstOfOthers);
}

BOOST_AUTO_TEST_CASE(failed_texts_come_last_and_the_batch_due_first_comes_first)
{
    const auto order = orderRewards({{0, 1, 0, Timestamp(10)}, {1, 0, 2, Timestamp(10)}, {2, 0, 2, Timestamp(5)}, {3, 0, 0, Timestamp(20)}});
    BOOST_TEST((order == std::vector<std::size_t>{3, 2, 1, 0}));
}

BOOST_AUTO_TEST_CASE(an_endpoint_with_one_slot_still_takes_a_reward_call)
{
    BOOST_TEST(maxRewardCalls(1) == 1);
    BOOST_TEST(maxRewardCalls(0) == 1);
    BOOST_TEST(maxRewardCalls(7) == 3);
}

// Guards against a lost response that blocks a step, and against a slow service that is called in vain forever.
BOOST_AUTO_TEST_CASE(the_time_limit_of_a_reward_call_follows_the_route_and_the_remaining_time_of_the_step)
{
    const Milliseconds target(150);
    const Milliseconds timeout(1000);
    BOOST_TEST(rewardTimeLimit({target, timeout, 0, Milliseconds(5000)}).count() == 300);
    BOOST_TEST(rewardTimeLimit({target, timeout, 1, Milliseconds(5000)}).count() == 600);
    BOOST_TEST(rewardTimeLimit({target, timeout, 4, Milliseconds(5000)}).count() == 1000);
    BOOST_TEST(rewardTimeLimit({target, timeout, 1, Milliseconds(800)}).count() == 400);
    BOOST_TEST(rewardTimeLimit({target, timeout, 1, Milliseconds(100)}).count() == 300);
    BOOST_TEST(rewardTimeLimit({target, timeout, 2, Milliseconds(-100)}).count() == 1000);
}

BOOST_AUTO_TEST_SUITE_END()
