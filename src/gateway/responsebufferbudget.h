#pragma once

#include <cstddef>

namespace Basilbend
{

/// Bounds the bytes of answers that a gateway holds until they are whole. An endpoint in trouble may send a body without end,
/// and many of them together must not take the memory that sound requests need.
class ResponseBufferBudget
{
public:
    /// Largest answer that is held.
    static constexpr std::size_t MaxResponseBytes = 4 * 1024 * 1024;
    /// All answers together; a small part of the memory of the smallest entry host.
    static constexpr std::size_t MaxBufferedBytes = 16 * 1024 * 1024;
    /// An answer up to this size is always held.
    static constexpr std::size_t GuaranteedResponseBytes = 64 * 1024;

    /// Whether an answer of which so many bytes are held may grow. Counts the growth when it may.
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
