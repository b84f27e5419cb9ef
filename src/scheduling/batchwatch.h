#pragma once

#include "metadata/prefixfeed.h"
#include "scheduling/batchadmission.h"
#include "scheduling/batchcleaner.h"
#include "scheduling/batchloader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

struct BatchWatchHooks {
    /// Fencing token of the leadership; zero if this process does not lead.
    std::function<std::uint64_t()> term;
    std::function<void(const std::string &id, LoadedBatch batch)> onOpened;
    /// Called when a batch has been ended by its client or removed.
    std::function<void(const std::string &id)> onEnded;
};

/// Follows the batches in the metadata store while this process leads: loads each open batch, reports when it ends, and
/// removes expired batches.
class BatchWatch
{
public:
    /// admission: decides which open batches are loaded.
    BatchWatch(MetadataStore &store, EventLoop loop, EventLog &log, BatchAdmission admission, BatchWatchHooks hooks);

    void start();

    /// Discards all batches without calling onEnded.
    void stop();

    /// Loads an open batch again and calls onOpened again.
    void reload(const BatchIndex &index);

    /// The batch no longer counts for the memory of open batches, because all of its results are listed.
    void release(const std::string &id);

    const BatchAdmission &admission() const
    {
        return m_admission;
    }

    /// Removes expired batches. Must be called regularly.
    void poll();

    /// Time at which the reported state of the batches was last confirmed to be current; empty before the first
    /// confirmation.
    std::optional<Timestamp> lastConfirmedAt() const
    {
        return m_feed ? m_feed->verifiedAt() : std::nullopt;
    }

private:
    void applySnapshot(std::vector<MetadataItem> items);
    void applyIndex(const MetadataItem &item);
    /// Loads the batch now, or when there is memory for it.
    void load(const BatchIndex &index);
    void loadAdmitted();
    void finishLoad(const std::string &id, Result<LoadedBatch> loaded);
    void end(const std::string &id);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    BatchWatchHooks m_hooks;
    BatchCleaner m_cleaner;
    BatchAdmission m_admission;
    std::unique_ptr<PrefixFeed> m_feed;
    /// Stopped feeds that may still receive responses to their calls.
    std::vector<std::unique_ptr<PrefixFeed>> m_stoppedFeeds;
    std::map<std::string, std::shared_ptr<BatchLoader>> m_loading;
    std::set<std::string> m_opened;
    std::set<std::string> m_ended;
};

}
