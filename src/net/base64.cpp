#include "net/base64.h"

#include <cctype>
#include <openssl/evp.h>

namespace Basilbend
{

std::string toBase64(std::string_view bytes)
{
    // EVP_EncodeBlock appends a terminating null byte.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int n =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int n = text.size() % 4 != 0
        ? -1
        : EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    // EVP_DecodeBlock skips white space at both ends, so that it decodes fewer groups than the text has.
    if (n < 0 || static_cast<std::size_t>(n) != bytes.size()) {
        return std::nullopt;
    }
    // EVP_DecodeBlock includes padding in its length, as zero bytes.
    const auto padding = text.substr(text.size() - 2) == "==" ? 2U : text.back() == '=' ? 1U : 0U;
    bytes.resize(bytes.size() - padding);
    // EVP_DecodeBlock also accepts padding in the middle, white space at both ends and non-zero unused bits in the last group.
    const bool isPaddedAtEnd = text.find('=') >= text.size() - padding;
    const bool hasWhiteSpace = std::isspace(static_cast<unsigned char>(text.front())) != 0 || std::isspace(static_cast<unsigned char>(text.back())) != 0;
    const auto lastGroup = std::string_view(bytes).substr((text.size() / 4 - 1) * 3);
    const bool isCanonical = isPaddedAtEnd && !hasWhiteSpace && toBase64(lastGroup) == text.substr(text.size() - 4);
    return isCanonical ? std::optional(std::move(bytes)) : std::nullopt;
}

}
