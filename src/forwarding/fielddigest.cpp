#include "forwarding/fielddigest.h"

#include <array>

namespace Basilbend
{

namespace
{

constexpr std::size_t DigestBytes = 16;

}

FieldDigest::FieldDigest()
    : m_context(EVP_MD_CTX_new(), &EVP_MD_CTX_free)
{
    EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr);
}

void FieldDigest::add(std::string_view field)
{
    const auto length = std::to_string(field.size()) + ":";
    EVP_DigestUpdate(m_context.get(), length.data(), length.size());
    EVP_DigestUpdate(m_context.get(), field.data(), field.size());
}

std::string FieldDigest::hexText()
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    EVP_DigestFinal_ex(m_context.get(), bytes.data(), nullptr);
    std::string text;
    for (std::size_t i = 0; i < DigestBytes; ++i) {
        text += Digits[bytes[i] >> 4U];
        text += Digits[bytes[i] & 15U];
    }
    return text;
}

}
