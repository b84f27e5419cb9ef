#include "base/attemptid.h"

#include <charconv>

namespace Basilbend
{

namespace Internal
{

std::optional<std::uint64_t> parseIdNumber(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return n;
}

}

std::string AttemptId::toString() const
{
    return entry + "/" + std::to_string(incarnation) + "/" + std::to_string(sequence);
}

std::optional<AttemptId> AttemptId::fromString(std::string_view text)
{
    const auto last = text.rfind('/');
    if (last == std::string_view::npos || last == 0) {
        return std::nullopt;
    }
    const auto beforeLast = text.rfind('/', last - 1);
    if (beforeLast == std::string_view::npos || beforeLast == 0) {
        return std::nullopt;
    }
    const auto incarnation = Internal::parseIdNumber(text.substr(beforeLast + 1, last - beforeLast - 1));
    const auto sequence = Internal::parseIdNumber(text.substr(last + 1));
    if (!incarnation || !sequence) {
        return std::nullopt;
    }
    return AttemptId{std::string(text.substr(0, beforeLast)), *incarnation, *sequence};
}

}
