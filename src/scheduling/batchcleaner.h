#pragma once

#include "base/eventloop.h"
#include "batches/batch.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Removes batches from the metadata store when nobody may ask for them any more, one after the other, index last.
class BatchCleaner
{
public:
    /// Term: the fencing token of the leadership; zero: nothing may be removed.
    BatchCleaner(MetadataStore &store, EventLoop loop, EventLog &log, std::function<std::uint64_t()> term);

    /// Told of each index that the store holds.
    void noteIndex(const BatchIndex &index);
    void noteRemoved(const std::string &id);

    /// Starts the removal of the oldest batch that is due, if none is under way. To be called from time to time.
    void poll();

    void clear();

    /// Results are readable this long after their submission.
    static constexpr Milliseconds EndedLife{180 * 1000};
    /// A batch that was never ended is kept this long.
    static constexpr Milliseconds OpenLife{3600 * 1000};

private:
    struct Known {
        Timestamp submittedAt;
        bool ended = false;
    };

    bool isDue(const Known &known) const;
    void collect(const std::string &id, std::vector<std::string> prefixes, std::vector<std::string> keys);
    void remove(const std::string &id, std::vector<std::string> keys);
    void finish(const std::string &id, bool removed);

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    std::function<std::uint64_t()> m_term;
    std::map<std::string, Known> m_known;
    bool m_isBusy = false;
};

}
