#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Splits a stream that arrives in parts into lines. Lines are passed to the callback without their line break.
class LineReader
{
public:
    /// Returns false to discard the rest of the data.
    using LineCallback = std::function<bool(std::string_view line)>;

    explicit LineReader(std::size_t maxLineBytes = 16 * 1024 * 1024);

    /// Calls the callback for each completed line. Returns false if the callback did, or if an unfinished line exceeds the limit.
    bool feed(std::string_view data, const LineCallback &callback);

private:
    std::size_t m_maxLineBytes;
    std::string m_partial;
};

}
