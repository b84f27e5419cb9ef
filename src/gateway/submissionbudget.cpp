#include "gateway/submissionbudget.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// While a batch is written, up to six copies of it exist: as received, split, encoded, kept for a peer, and as message.
constexpr std::size_t MemoryDivisor = 8;

}

SubmissionBudget::Reservation::~Reservation()
{
    if (m_budget != nullptr) {
        m_budget->m_reservedBytes -= m_bytes;
    }
}

SubmissionBudget::SubmissionBudget(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t SubmissionBudget::limitFor(std::size_t memoryBytes)
{
    return std::min(BatchRecords::MaxSubmissionBytes, memoryBytes / MemoryDivisor);
}

std::optional<SubmissionBudget::Reservation> SubmissionBudget::reserve(std::size_t bytes)
{
    if (m_reservedBytes + bytes > m_limitBytes) {
        return std::nullopt;
    }
    m_reservedBytes += bytes;
    return Reservation(*this, bytes);
}

}
