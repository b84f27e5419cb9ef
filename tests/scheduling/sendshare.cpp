#include "scheduling/sendshare.h"

#include "base/random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <iterator>
#include <optional>
#include <vector>

using namespace Basilbend;

namespace
{

constexpr WarmupTolerance Tolerance{1.5, 5};
constexpr double WarmupRate = 7.8;
constexpr Milliseconds LeaseSpan{1500};
constexpr Milliseconds RenewInterval{400};
constexpr Milliseconds Step{5};
constexpr SendShareRule Rule;
constexpr Timestamp LongAgo(-10000);

/// A process that leads or has led, and sends as many requests to one endpoint as it may.
struct Sender {
    SenderState state;
    RequestLimiter limiter{Tolerance};
    Timestamp renewedAt;
    /// The store does not answer its renewals.
    bool isCutOff = false;
    std::optional<Timestamp> stopsAt;
    bool isKilled = false;
    /// Times at which its requests leave, unless it is killed before.
    std::vector<Timestamp> departures;
};

/// One leader after the other, each lost in a random way, and the times at which their requests reach the endpoint.
class Succession
{
public:
    /// announcedLimit: the limit that the endpoint names, in requests per second. Without it, the endpoint has a warm-up rate.
    explicit Succession(std::uint64_t seed, std::optional<double> announcedLimit = std::nullopt)
        : m_random(seed)
        , m_announcedLimit(announcedLimit)
    {
        m_service.warmupRequestsPerSecond = announcedLimit ? 0 : WarmupRate;
        m_endpoint.id = "a";
        elect(LongAgo);
    }

    std::vector<Timestamp> run(Milliseconds span)
    {
        auto nextLoss = m_now + Milliseconds(m_random.below(9000));
        for (const auto end = m_now + span; m_now < end; m_now = m_now + Step) {
            if (m_electionAt && m_now >= *m_electionAt) {
                elect(m_predecessorEndedAt);
                nextLoss = m_now + Milliseconds(m_random.below(9000));
            }
            if (!m_electionAt && m_now >= nextLoss) {
                loseLeader();
            }
            for (auto &sender : m_senders) {
                advance(sender);
            }
        }
        return departures();
    }

private:
    std::vector<Timestamp> departures() const
    {
        std::vector<Timestamp> all;
        for (const auto &sender : m_senders) {
            // A connection that is not established yet ends with its process. Requests to an endpoint that names a limit are sent by
            // gateways, which run on.
            std::copy_if(sender.departures.begin(), sender.departures.end(), std::back_inserter(all), [this, &sender](Timestamp at) {
                return m_announcedLimit || !sender.isKilled || at < *sender.stopsAt;
            });
        }
        std::sort(all.begin(), all.end(), [](Timestamp a, Timestamp b) { return a < b; });
        return all;
    }

    void elect(Timestamp predecessorEndedAt)
    {
        m_electionAt.reset();
        m_senders.emplace_back();
        auto &leader = m_senders.back();
        leader.state.predecessorEndedAt = predecessorEndedAt;
        leader.state.electedAt = m_now;
        if (m_announcedLimit) {
            leader.limiter.announcedLimits().record({m_endpoint.id, 0}, {RateStatement::Kind::Limited, *m_announcedLimit}, m_now, m_now);
        }
        renew(leader);
    }

    void renew(Sender &sender)
    {
        sender.renewedAt = m_now;
        sender.state.leaseValidUntil = m_now + LeaseSpan - Rule.leaseMargin;
    }

    void loseLeader()
    {
        auto &leader = m_senders.back();
        m_predecessorEndedAt = LongAgo;
        switch (m_random.below(4)) {
        case 0:
            // Killed; another host takes over when the lease has ended.
            leader.stopsAt = m_now;
            leader.isKilled = true;
            m_electionAt = leader.renewedAt + LeaseSpan;
            break;
        case 1:
            // Killed and started again on its host, where it leads at once.
            leader.stopsAt = m_now;
            leader.isKilled = true;
            m_predecessorEndedAt = m_now + Milliseconds(m_random.below(50));
            m_electionAt = m_predecessorEndedAt + Milliseconds(20);
            break;
        case 2:
            // Cut off from the store; it goes on for a while without knowing of its successor.
            leader.isCutOff = true;
            m_electionAt = leader.renewedAt + LeaseSpan;
            break;
        default:
            // Told to stop.
            leader.state.isHandingOver = true;
            leader.stopsAt = m_now + RequestLimiter::Window;
            m_electionAt = *leader.stopsAt + Milliseconds(5);
            break;
        }
    }

    void advance(Sender &sender)
    {
        const bool isUncertainTooLong = m_now - sender.state.leaseValidUntil >= Rule.uncertainSendTime;
        if ((sender.stopsAt && m_now >= *sender.stopsAt) || isUncertainTooLong) {
            return;
        }
        if (!sender.isCutOff && m_now - sender.renewedAt >= RenewInterval) {
            renew(sender);
        }
        sender.limiter.setShare(Rule.shareOf(sender.state, m_now));
        const auto left = sender.limiter.requestsLeft(m_endpoint, m_service, m_now);
        for (auto n = std::min<std::uint64_t>(left, m_random.below(20)); n > 0; --n) {
            sender.limiter.recordRequest(m_endpoint, m_now);
            sender.departures.push_back(m_now + Milliseconds(m_random.below(301)));
        }
    }

    Random m_random;
    std::optional<double> m_announcedLimit;
    ServiceSpec m_service;
    EndpointRecord m_endpoint;
    Timestamp m_now{1000};
    std::deque<Sender> m_senders;
    std::optional<Timestamp> m_electionAt;
    Timestamp m_predecessorEndedAt;
};

/// The most departures in any window of the given length.
std::size_t mostInWindow(const std::vector<Timestamp> &departures, Milliseconds length)
{
    std::deque<Timestamp> window;
    std::size_t most = 0;
    for (const auto at : departures) {
        window.push_back(at);
        while (at - window.front() >= length) {
            window.pop_front();
        }
        most = std::max(most, window.size());
    }
    return most;
}

}

BOOST_AUTO_TEST_SUITE(scheduling, *boost::unit_test::label("scheduling"))

// Guards against an endpoint that gets more than it bears in some second because a leader and its successor each send what one of them
// may send, whatever way the leadership changes, at whatever moment the endpoint becomes cold, and with slow connections.
BOOST_AUTO_TEST_CASE(no_endpoint_gets_more_than_its_bound_in_any_second_around_changes_of_the_leader)
{
    const auto bound = WarmupRate * Tolerance.rateFactor + Tolerance.extraRequests;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const auto most = mostInWindow(Succession(seed).run(Milliseconds(60000)), Milliseconds(1000));
        BOOST_REQUIRE_MESSAGE(static_cast<double>(most) <= bound, "seed " << seed << ": " << most << " requests in one second");
    }
}

// Guards against an endpoint that gets more than it takes because a leader without its lease and its successor each grant all that the
// endpoint's limit allows.
BOOST_AUTO_TEST_CASE(no_endpoint_gets_more_than_the_bound_of_its_limit_around_changes_of_the_leader)
{
    for (const double limit : {0.0, 0.5, 1.0, 4.0, 20.0}) {
        const auto bound = 4 * limit * 1.5 + 5;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const auto most = mostInWindow(Succession(seed, limit).run(Milliseconds(60000)), Milliseconds(4000));
            BOOST_REQUIRE_MESSAGE(static_cast<double>(most) <= bound, "limit " << limit << ", seed " << seed << ": " << most << " requests in 4 s");
        }
    }
}

BOOST_AUTO_TEST_CASE(a_leader_with_a_fresh_lease_and_no_recent_predecessor_sends_all)
{
    constexpr double Part = 1.0 / SendShareRule::MaxSenders;
    const SenderState state{Timestamp(0), Timestamp(1000), Timestamp(11200), false};
    BOOST_TEST(Rule.shareOf(state, Timestamp(10000)) == 1);
    BOOST_TEST(Rule.shareOf({Timestamp(0), Timestamp(1000), Timestamp(11200), true}, Timestamp(10000)) == Part);
    // The lease may end before the requests are a window old.
    BOOST_TEST(Rule.shareOf(state, Timestamp(10500)) == Part);
    // The predecessor may still send.
    BOOST_TEST(Rule.shareOf({Timestamp(0), Timestamp(7000), Timestamp(11200), false}, Timestamp(10000)) == Part);
    BOOST_TEST(Rule.shareOf({Timestamp(9001), Timestamp(9100), Timestamp(11200), false}, Timestamp(10000)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
