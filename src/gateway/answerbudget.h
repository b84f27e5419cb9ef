#pragma once

#include <cstddef>

namespace Basilbend
{

/// Limits the memory for responses that a gateway buffers until they are complete. A faulty endpoint may send an endless body, and
/// many such responses together must not use up the memory that other requests need.
class AnswerBudget
{
public:
    /// Maximum size of one buffered response.
    static constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;
    /// Limit for all buffered responses together; a small part of the memory of the smallest host that runs a gateway.
    static constexpr std::size_t MaxBufferedBytes = 16 * 1024 * 1024;
    /// A response up to this size is always buffered, even if the total limit is exceeded.
    static constexpr std::size_t GuaranteedResponseBytes = 64 * 1024;

    /// Reserves growth more bytes for a response of which bufferedBytes are buffered. Returns false, and reserves nothing, if a limit
    /// would be exceeded.
    bool reserve(std::size_t bufferedBytes, std::size_t growth);

    void release(std::size_t bytes)
    {
        m_bufferedBytes -= bytes;
    }

    std::size_t bufferedBytes() const
    {
        return m_bufferedBytes;
    }

private:
    std::size_t m_bufferedBytes = 0;
};

}
