#pragma once

#include "metadata/prefixfeed.h"
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
    /// Fencing token of the leadership; zero: this process does not lead.
    std::function<std::uint64_t()> term;
    std::function<void(const std::string &id, LoadedBatch batch)> onOpened;
    /// The batch was ended by its client, or removed.
    std::function<void(const std::string &id)> onEnded;
};

/// Follows the batches in the metadata store while this process leads: loads each that is open, tells when it ends, and has
/// old ones removed.
class BatchWatch
{
public:
    BatchWatch(MetadataStore &store, EventLoop loop, EventLog &log, BatchWatchHooks hooks);

    void start();

    /// Forgets all batches without telling of their end.
    void stop();

    /// Loads an open batch again and tells of it anew.
    void reload(const BatchIndex &index);

    /// To be called from time to time.
    void poll();

    /// The time at which what was told of the batches was current; nothing: not known yet.
    std::optional<Timestamp> currentAsOf() const
    {
        return m_feed ? m_feed->verifiedAt() : std::nullopt;
    }

private:
    void applySnapshot(std::vector<MetadataItem> items);
    void applyIndex(const MetadataItem &item);
    void load(const BatchIndex &index);
    void finishLoad(const std::string &id, Result<LoadedBatch> loaded);
    void end(const std::string &id);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    BatchWatchHooks m_hooks;
    BatchCleaner m_cleaner;
    std::unique_ptr<PrefixFeed> m_feed;
    /// Answers to their calls may still come.
    std::vector<std::unique_ptr<PrefixFeed>> m_stoppedFeeds;
    std::map<std::string, std::shared_ptr<BatchLoader>> m_loading;
    std::set<std::string> m_opened;
    std::set<std::string> m_ended;
};

}
