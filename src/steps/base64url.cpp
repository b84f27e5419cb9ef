#include "steps/base64url.h"

#include <array>
#include <cstdint>

namespace Basilbend::Internal
{

constexpr std::string_view Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned DigitBits = 6;
constexpr unsigned ByteBits = 8;

std::string toBase64Url(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() * ByteBits + DigitBits - 1) / DigitBits);
    std::uint32_t buf = 0;
    unsigned bits = 0;
    for (const char byte : bytes) {
        buf = (buf << ByteBits) | static_cast<unsigned char>(byte);
        bits += ByteBits;
        while (bits >= DigitBits) {
            bits -= DigitBits;
            text.push_back(Alphabet[(buf >> bits) & 63U]);
        }
    }
    if (bits > 0) {
        text.push_back(Alphabet[(buf << (DigitBits - bits)) & 63U]);
    }
    return text;
}

constexpr std::uint8_t NoDigit = 255;

std::array<std::uint8_t, 256> digitValues()
{
    std::array<std::uint8_t, 256> values{};
    values.fill(NoDigit);
    for (std::size_t i = 0; i < Alphabet.size(); ++i) {
        values[static_cast<unsigned char>(Alphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return values;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    static const auto values = digitValues();
    std::string bytes;
    bytes.reserve(text.size() * DigitBits / ByteBits);
    std::uint32_t buf = 0;
    unsigned bits = 0;
    for (const char digit : text) {
        const auto value = values[static_cast<unsigned char>(digit)];
        if (value == NoDigit) {
            return std::nullopt;
        }
        buf = (buf << DigitBits) | value;
        bits += DigitBits;
        if (bits >= ByteBits) {
            bits -= ByteBits;
            bytes.push_back(static_cast<char>((buf >> bits) & 255U));
        }
    }
    const bool leftoverIsZero = (buf & ((1U << bits) - 1U)) == 0;
    return bits < DigitBits && leftoverIsZero ? std::optional<std::string>(std::move(bytes)) : std::nullopt;
}

}
