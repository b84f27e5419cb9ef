#include "net/tracecontext.h"

#include <algorithm>
#include <cstdio>

namespace Basilbend
{

namespace Internal
{

std::string hexDigits(std::uint64_t bits)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(bits));
    return text;
}

bool isValidId(std::string_view text)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return std::all_of(text.begin(), text.end(), isHex) && std::any_of(text.begin(), text.end(), [](char c) { return c != '0'; });
}

}

TraceContext TraceContext::root(Random &random)
{
    return {Internal::hexDigits(random.bits()) + Internal::hexDigits(random.bits()), Internal::hexDigits(random.bits() | 1)};
}

TraceContext TraceContext::fromHeader(std::string_view header, Random &random)
{
    constexpr std::size_t HeaderSize = 55;
    const bool hasValidFormat = header.size() == HeaderSize && header.substr(0, 3) == "00-" && header[35] == '-' && header[52] == '-';
    if (!hasValidFormat || !Internal::isValidId(header.substr(3, 32)) || !Internal::isValidId(header.substr(36, 16))) {
        return root(random);
    }
    return {std::string(header.substr(3, 32)), std::string(header.substr(36, 16))};
}

TraceContext TraceContext::child(Random &random) const
{
    return {traceId, Internal::hexDigits(random.bits() | 1)};
}

std::string TraceContext::toHeader() const
{
    return "00-" + traceId + "-" + spanId + "-01";
}

}
