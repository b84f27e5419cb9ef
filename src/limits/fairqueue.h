#pragma once

#include "base/result.h"
#include "limits/queuedrequest.h"
#include "limits/streamrate.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Basilbend
{

struct FairQueueSettings {
    /// Requests in the engine at once; the rest wait here, where their order can still change.
    std::size_t engineBound = 32;

    /// Of these, places that only a workspace below its promise may take. Without them its requests wait until some other
    /// response ends, which costs it several percent of each window.
    std::size_t reservedPlaces = 3;

    /// A workspace goes ahead of the others until it got its part of the service in the last 10 s or of the places, and this many
    /// streams more. Its requests are spread unevenly over the engines, so without it a workspace would be held back on some
    /// engines and fall below its promise in sum.
    double streamSlack = 2;

    /// Requests that may wait.
    std::size_t queueBound = 512;

    /// A workspace below its promise waits at most this long before a rollout of another workspace is preempted.
    Milliseconds preemptAfter{2000};

    /// Tokens charged at the start at most. Without this charge one workspace takes all free places before its first token;
    /// with a charge of the whole expected length, long responses pay for capacity that they use much later.
    std::uint64_t startCharge = 256;

    /// Generated tokens that one prompt token counts for.
    double promptWeight = 0.02;

    /// Prompts longer than this delay all other responses of the engine. A workspace above its promise starts them only at
    /// the pace, in prompt tokens per second and engine, while other workspaces have work in the engine; zero for no limit.
    std::uint64_t longPrompt = 2000;
    double longPromptPace = 220;

    /// False serves in order of arrival; only for comparison.
    bool fair = true;

    /// False lets requests wait for deadlines that can't be met; only for comparison.
    bool refuseEarly = true;
};

/// A request that the queue has given up on, with its final answer.
struct QueueRefusal {
    AttemptId id;
    Error error;
};

struct FairQueueCounters {
    std::uint64_t started = 0;
    std::uint64_t refusedFull = 0;
    std::uint64_t refusedDeadline = 0;
    std::uint64_t pushedOut = 0;
    std::uint64_t expired = 0;
    std::uint64_t preempted = 0;
};

/// Start-time fair queueing over workspaces in front of one engine. A workspace pays for prompt tokens at the start and for
/// each generated token as it becomes known. Live requests go ahead of rollouts of the same workspace. A workspace that
/// becomes backlogged starts at the current virtual time, so idle time saves no credit.
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings);

    /// Sets the relative share of a workspace; unknown workspaces have a share of 1.
    void setShare(const std::string &workspace, double share);

    /// Accepts the request or refuses it at once: Overloaded with a time to retry when the queue is full or the deadline
    /// can't be met. A full queue makes room for a workspace that holds less than its share of the places.
    Result<void> push(QueuedRequest request, Timestamp now);

    /// Takes the next request to hand to the engine; nothing when the engine is full or nobody waits.
    std::optional<QueuedRequest> start(Timestamp now);

    /// Charges tokens that the engine generated for a started request.
    void charge(const AttemptId &id, std::uint64_t tokens, Timestamp now);

    /// Ends a started request, however it ended. Returns false for a request that is not running.
    bool finish(const AttemptId &id, Timestamp now);

    /// Withdraws a waiting request. True guarantees that it never starts.
    bool withdraw(const AttemptId &id);

    /// Requests given up on since the last call: pushed out, or unable to meet their deadline. Each is reported once.
    std::vector<QueueRefusal> takeRefusals(Timestamp now);

    /// Started requests whose deadline has passed.
    std::vector<AttemptId> overdue(Timestamp now) const;

    /// The running rollout that has to make room for a workspace below its promise, if any. The caller cancels it in the
    /// engine, calls finish and resumes it later. Names at most one rollout per engine and half a second.
    std::optional<AttemptId> preemption(Timestamp now);

    /// Expected wait until a request of this workspace and class starts.
    Milliseconds expectedWait(const std::string &workspace, RequestClass requestClass) const;

    std::size_t waiting() const;
    std::size_t running() const;

    /// Requests that a workspace within its promise competes with: all of each workspace up to its part of the places and
    /// the slack. The backlog of a flood does not make an engine look full to the others.
    double competing() const;
    const FairQueueCounters &counters() const;

private:
    struct Waiting {
        QueuedRequest request;
        Timestamp since;
    };
    struct Account {
        double share = 1;
        double tag = 0;
        double meanTokens = 256;
        DecayingSum served;
        std::deque<Waiting> live;
        std::deque<Waiting> rollouts;
        std::size_t running = 0;

        std::size_t waiting() const;
        const Waiting &head() const;
    };
    struct Running {
        QueuedRequest request;
        Timestamp since;
        std::uint64_t generated = 0;
        std::uint64_t chargedAhead = 0;
    };

    void advanceVirtualTime();
    void makeBacklogged(Account &account);
    std::optional<Error> refuseEarly(const QueuedRequest &request, const Account &account, Timestamp now) const;
    bool makeRoomFor(const std::string &workspace);
    Account *nextAccount(Timestamp now);
    bool hasToWaitForPace(const Account &account, Timestamp now) const;
    double overService(const Account &account, Timestamp now) const;
    double overPlaces(const Account &account) const;
    double slackTokens() const;
    Milliseconds serviceTime(const QueuedRequest &request) const;
    Milliseconds waitFor(const Account &account, RequestClass requestClass) const;
    double portion(const Account &account, bool activeOnly) const;
    void expire(std::deque<Waiting> &queue, Timestamp now);

    FairQueueSettings m_settings;
    std::map<std::string, Account> m_accounts;
    std::map<AttemptId, Running> m_running;
    std::map<AttemptId, std::string> m_waiting;
    std::vector<QueueRefusal> m_refusals;
    StreamRate m_rate;
    DecayingSum m_served;
    double m_virtualTime = 0;
    Timestamp m_lastPreemption{-1000000};
    Timestamp m_nextLongPrompt;
    FairQueueCounters m_counters;
};

}
