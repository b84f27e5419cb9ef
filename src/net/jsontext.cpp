#include "net/jsontext.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Basilbend
{

bool isPlainJsonText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= 0x20 && c < 0x7f && c != '"' && c != '\\'; });
}

void appendJsonString(std::string &to, std::string_view text)
{
    if (isPlainJsonText(text)) {
        to.push_back('"');
        to.append(text);
        to.push_back('"');
    } else {
        to.append(nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }
}

std::size_t maxJsonStringBytes(std::string_view text)
{
    constexpr std::size_t QuoteBytes = 2;
    constexpr std::size_t ShortEscapeBytes = 2;
    /// A control character as \u and four digits.
    constexpr std::size_t LongEscapeBytes = 6;
    /// A byte that is not valid UTF-8 is replaced by U+FFFD.
    constexpr std::size_t ReplacementBytes = 3;
    std::size_t n = QuoteBytes;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\' || c == '\n' || c == '\t' || c == '\r') {
            n += ShortEscapeBytes;
        } else if (byte < 0x20) {
            n += LongEscapeBytes;
        } else {
            n += byte < 0x80 ? 1 : ReplacementBytes;
        }
    }
    return n;
}

std::uint64_t unsignedField(const nlohmann::json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end() || !it->is_number_unsigned()) {
        throw std::invalid_argument(std::string(name) + " must be a number without sign");
    }
    return it->get<std::uint64_t>();
}

}
