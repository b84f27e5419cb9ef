#pragma once

#include "batches/batchrecords.h"

#include <cstddef>
#include <optional>
#include <utility>

namespace Basilbend
{

/// Limits the memory for batches that a gateway is writing to the metadata store: while it is written, a batch takes several times its size.
class SubmissionBudget
{
public:
    /// The share of one batch. Returns it to the budget when it is destroyed.
    class Reservation
    {
    public:
        Reservation(SubmissionBudget &budget, std::size_t bytes)
            : m_budget(&budget)
            , m_bytes(bytes)
        {
        }
        Reservation(Reservation &&other) noexcept
            : m_budget(std::exchange(other.m_budget, nullptr))
            , m_bytes(other.m_bytes)
        {
        }
        Reservation &operator=(Reservation &&) = delete;
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;
        ~Reservation();

    private:
        SubmissionBudget *m_budget;
        std::size_t m_bytes;
    };

    explicit SubmissionBudget(std::size_t limitBytes = BatchRecords::MaxSubmissionBytes);

    /// Limit for a process that may use this much memory, at most what the store can take.
    static std::size_t limitFor(std::size_t memoryBytes);

    /// Maximum size of one batch in bytes, and of all that are being written together.
    std::size_t limitBytes() const
    {
        return m_limitBytes;
    }

    /// Reserves memory for a batch of this size. Returns nothing while others hold too much. One within the limit fits when there is no other.
    std::optional<Reservation> reserve(std::size_t bytes);

private:
    std::size_t m_limitBytes;
    std::size_t m_reservedBytes = 0;
};

}
