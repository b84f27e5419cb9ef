#pragma once

#include "batches/batch.h"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace Basilbend
{

/// Decides which open batches a leader holds in memory. The others wait in the metadata store, where they are kept since they were accepted,
/// until earlier ones have ended. Performs no I/O.
///
/// A workspace holds at most half of the limit, or one batch of any size, so its batches do not use up the memory of the process and do
/// not keep those of others waiting. A workspace that holds little may exceed the limit, up to twice as much.
class BatchAdmission
{
public:
    /// limitBytes: memory that open batches usually hold together, see limitFor().
    explicit BatchAdmission(std::size_t limitBytes);

    /// Limit for a process that may use this much memory.
    static std::size_t limitFor(std::size_t memoryBytes);

    /// Memory that a batch holds once it is loaded, in bytes: an upper estimate.
    static std::size_t heldBytes(const BatchIndex &index);

    /// Adds an open batch, in the order in which batches should be loaded.
    void add(const BatchIndex &index);

    /// Returns the next batch to load; empty if all others must wait. It counts as being loaded until finishLoad().
    std::optional<BatchIndex> next();
    void finishLoad(const std::string &id);

    /// Removes a batch, whether it waits or is held.
    void remove(const std::string &id);
    void clear();

    bool isWaiting(const std::string &id) const;

    /// Whether the batch waits or is held.
    bool contains(const std::string &id) const;

    std::size_t waitingCount() const
    {
        return m_waiting.size();
    }
    std::size_t heldBytes() const
    {
        return m_heldBytes;
    }

private:
    struct HeldBatch {
        std::string workspace;
        std::size_t bytes = 0;
        bool isLoading = true;
    };

    bool mayLoad(const BatchIndex &index) const;
    std::size_t loadingBytes() const;

    std::size_t m_limitBytes;
    std::list<BatchIndex> m_waiting;
    std::map<std::string, HeldBatch> m_held;
    std::map<std::string, std::size_t> m_heldByWorkspace;
    std::size_t m_heldBytes = 0;
};

}
