#pragma once

#include "leadership/processidentity.h"
#include "usage/sequenceset.h"
#include "usage/usagefigures.h"

#include <vector>

namespace Basilbend
{

/// The shard that an entry's usage belongs to; empty when there is only one. The number of shards must not change while a
/// store is in use.
std::string usageShard(const std::string &entry, unsigned shards);

/// Where usage is kept in the store. A shard has batches, sealed windows and reports of its own, so that the process that
/// seals reads only a part of the fleet's batches.
struct UsageKeys {
    std::string shard;

    std::string root() const;
    std::string batchPrefix() const;
    std::string batch(const std::string &entry, std::uint64_t incarnation, std::uint64_t number) const;
    std::string sealed(std::uint64_t window) const;
    std::string progress() const;
    /// Id of a window in reports: "<window>" or "<shard>/<window>".
    std::string reportId(std::uint64_t window) const;
};

/// One entry in the log of an entry incarnation. The log holds the usage of attempts of that incarnation only. Its numbers
/// are consecutive and each key is created once, and a writer must have read what is there up to its number, so each attempt
/// is counted once, whoever writes: the entry itself, or another one for it after it went silent.
struct UsageBatch {
    std::string entry;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    /// Mark of the write.
    ProcessIdentity writer;
    std::uint64_t write = 0;

    /// All attempts of the incarnation that this batch and the earlier ones cover.
    SequenceSet covered;

    /// Sums of the attempts that only this batch covers, those in records included.
    UsageFigures figures;

    /// The attempts one by one, when another entry writes; the entry itself takes them out of its own sums.
    std::vector<UsageRecord> records;

    std::string toJson() const;
    /// Returns nothing when the text is not a batch.
    static std::optional<UsageBatch> fromJson(std::string_view text);
};

}
