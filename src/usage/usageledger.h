#pragma once

#include "usage/sequenceset.h"
#include "usage/usagerecord.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Basilbend
{

struct UsageLedgerSettings {
    /// A record is handed on this long after the attempt ended, so that the entry holds it too.
    Milliseconds firstPush{1000};

    /// Records are handed on again after each span until they are in the store.
    Milliseconds pushPeriod{10000};

    /// The owning entry counts as silent after this span without a valid answer; another entry is asked as well then.
    Milliseconds silenceLimit{30000};

    std::size_t maxRecordsPerPush = 500;
};

/// Records of one entry incarnation on their way to that entry, or to another one that appends them to its log.
struct UsagePush {
    std::string entry;
    std::uint64_t incarnation = 0;

    /// Lower bound of the number of the entry's next batch, as the entry told; zero when it never did.
    std::uint64_t nextBatch = 0;
    std::vector<UsageRecord> records;

    std::string toJson() const;
    /// Returns nothing when the text is malformed.
    static std::optional<UsagePush> fromJson(std::string_view text);
};

struct UsagePushAnswer {
    /// The entry incarnation whose log is meant, as the answering process understood it.
    std::string entry;
    std::uint64_t incarnation = 0;
    /// Attempts that are in the store.
    SequenceSet covered;
    std::uint64_t nextBatch = 0;
    /// True from the owner itself, false from another entry that appends to the owner's log.
    bool fromOwner = false;

    std::string toJson() const;
    static std::optional<UsagePushAnswer> fromJson(std::string_view text);
};

struct UsageLedgerHooks {
    NowFunction now;

    /// Sends to the entry itself; nothing comes back when it did not answer or is another incarnation now. Called once back.
    std::function<void(const UsagePush &, std::function<void(std::optional<UsagePushAnswer>)>)> pushToOwner;

    /// Sends to a live entry other than the owner; the attempt number grows with each failure, so that another is chosen.
    std::function<void(const UsagePush &, std::uint64_t attempt, std::function<void(std::optional<UsagePushAnswer>)>)> pushToOther;
};

/// Holds the usage records of one sidecar until they are in the store.
class UsageLedger
{
public:
    UsageLedger(UsageLedgerSettings settings, UsageLedgerHooks hooks);
    UsageLedger(const UsageLedger &) = delete;
    UsageLedger &operator=(const UsageLedger &) = delete;

    /// Takes the final count of an attempt; a second one for the same attempt is ignored.
    void add(const UsageRecord &record);

    /// Notes the number of an entry's next batch, as told with its attempts and heartbeats.
    void noteNextBatch(const std::string &entry, std::uint64_t incarnation, std::uint64_t nextBatch);

    /// Hands on what is due; call it at least once a second.
    void tick();

    /// Hands on everything at the next tick; for the shutdown.
    void flush();

    std::size_t size() const;

private:
    struct Owner {
        std::map<std::uint64_t, UsageRecord> records;
        std::uint64_t nextBatch = 0;
        std::uint64_t attempt = 0;
        /// Number after the last record pushed, so that a long list is handed on in turns.
        std::uint64_t position = 0;
        Timestamp nextPush;
        Timestamp lastAnswer;
        bool busy = false;
    };
    using Name = std::pair<std::string, std::uint64_t>;

    void push(const Name &name, Owner &owner);
    void finish(const Name &name, const UsagePush &message, bool toOwner, const std::optional<UsagePushAnswer> &answer);
    void pushToOther(const Name &name, Owner &owner, const UsagePush &message);

    const UsageLedgerSettings m_settings;
    const UsageLedgerHooks m_hooks;
    std::map<Name, Owner> m_owners;
};

}
