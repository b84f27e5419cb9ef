#pragma once

#include "attempts/executionstate.h"
#include "base/attemptid.h"
#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Basilbend
{

struct AttemptTableSettings {
    /// How long a finished, refused or revoked attempt is remembered by its own record.
    Milliseconds recordLifetime{600000};

    /// Ended attempts remembered by their own record; older ones are covered by the floor of their entry incarnation.
    std::size_t maxEnded = 65536;

    /// Entry incarnations remembered. 720 entries with 141 restarts a day in all stay below this for over a month.
    std::size_t maxIncarnations = 8192;

    /// An entry incarnation not heard of for this span is forgotten when room is needed.
    Milliseconds incarnationLifetime{86400000};
};

/// What a sidecar knows of the attempts that entries sent to it. An attempt starts at most once, and one whose revocation
/// was answered with never_started doesn't start at all. When the record of an ended attempt is dropped, the floor of its
/// entry incarnation rises to its sequence, and later arrivals at or below the floor are refused; so forgetting never
/// lets a late copy run.
class AttemptTable
{
public:
    enum class Arrival {
        New,
        /// The same attempt arrived before; the caller attaches to it and doesn't run it again.
        Known,
    };

    explicit AttemptTable(std::uint64_t incarnation, AttemptTableSettings settings = {});

    std::uint64_t incarnation() const;

    /// Registers an arrival. Errors: AttemptRevoked (not run: a tombstone was there first), NotRun (refused before),
    /// ExecutionUnknown (addressed to another incarnation, or at or below the floor: an earlier copy may have run),
    /// Overloaded (not run: too many entry incarnations to keep promises for one more).
    Result<Arrival> receive(const AttemptId &id, std::uint64_t addressedIncarnation, Timestamp now);

    /// Must succeed before the first byte is written to the endpoint. Fails with AttemptRevoked or NotRun.
    Result<void> start(const AttemptId &id);

    /// The endpoint's answer ended. Ignored for attempts that aren't running.
    void finish(const AttemptId &id, Timestamp now);

    /// Turns away an attempt that has not started; returns false when it has, because then it can't be said to be not run.
    bool refuse(const AttemptId &id, Timestamp now);

    /// Revokes an attempt, whether it arrived or not.
    RevocationAnswer revoke(const AttemptId &id, std::uint64_t addressedIncarnation, Timestamp now);

    std::optional<ExecutionState> state(const AttemptId &id) const;

    /// Drops records past their lifetime; to be called every second or so.
    void expire(Timestamp now);

    /// Attempts that have a record, ended ones included.
    std::size_t size() const;

    /// Entry incarnations remembered.
    std::size_t incarnationCount() const;

private:
    using Sender = std::pair<std::string, std::uint64_t>;
    struct SenderRecord {
        std::map<std::uint64_t, ExecutionState> attempts;
        /// Sequences at or below it are refused unless they have a record; nothing before the first dropped record.
        std::optional<std::uint64_t> floor;
        Timestamp lastHeard;
    };
    struct Ended {
        Timestamp at;
        AttemptId id;
    };

    SenderRecord *senderFor(const AttemptId &id, Timestamp now);
    const ExecutionState *find(const AttemptId &id) const;
    ExecutionState *find(const AttemptId &id);
    void markEnded(const AttemptId &id, ExecutionState &state, ExecutionState ended, Timestamp now);
    void dropOldest();
    bool forgetIdleSender(Timestamp now);

    std::uint64_t m_incarnation;
    AttemptTableSettings m_settings;
    std::map<Sender, SenderRecord> m_senders;
    std::deque<Ended> m_ended;
    std::size_t m_size = 0;
};

}
