#pragma once

#include "config/configuration.h"

#include <functional>
#include <string>
#include <string_view>

namespace Basilbend
{

/// Returns a string of the given length filled with cryptographically secure random bytes.
using RandomBytesSource = std::function<std::string(std::size_t length)>;

/// A new key: the clear text, which is shown only once, and the record to store.
struct GeneratedKey {
    std::string clearText;
    KeyRecord record;
};

/// Returns the SHA-256 digest in lower-case hexadecimal. Keys contain 256 random bits, so an unsalted digest is safe from search.
std::string keyDigest(std::string_view clearText);

/// Generates a key for a workspace from the given source of random bytes.
GeneratedKey generateKey(const std::string &workspace, const RandomBytesSource &bytes);

/// Returns random bytes from OpenSSL's generator. Throws std::runtime_error when it fails.
std::string systemRandomBytes(std::size_t length);

/// Compares two texts in a time that does not depend on where they differ.
bool constantTimeEqual(std::string_view a, std::string_view b);

}
