#include "config/keydigest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t KeyIdSizeBytes = 6;
constexpr std::size_t KeySecretSizeBytes = 32;

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += Digits[byte >> 4U];
        text += Digits[byte & 15U];
    }
    return text;
}

}

std::string keyDigest(std::string_view clearText)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(clearText.data(), clearText.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return Internal::toHex(std::string(digest.begin(), digest.begin() + n));
}

GeneratedKey generateKey(const std::string &workspace, const RandomBytesSource &bytes)
{
    GeneratedKey key;
    key.record.id = "k" + Internal::toHex(bytes(Internal::KeyIdSizeBytes));
    key.clearText = "bb-" + key.record.id + "-" + Internal::toHex(bytes(Internal::KeySecretSizeBytes));
    key.record.digest = keyDigest(key.clearText);
    key.record.workspace = workspace;
    return key;
}

std::string systemRandomBytes(std::size_t length)
{
    std::string bytes(length, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(length)) != 1) {
        throw std::runtime_error("the operating system gives no random bytes");
    }
    return bytes;
}

bool constantTimeEqual(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}
