#pragma once

#include <memory>
#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace Basilbend
{

/// SHA-256 over several fields, shortened to 128 bits: collisions are improbable, also between texts that a client makes up. Each field
/// is preceded by its length, so that no two lists of fields give the same input.
class FieldDigest
{
public:
    FieldDigest();

    void add(std::string_view field);

    /// Returns the digest as hexadecimal text, the same in every process. Nothing may be added afterwards.
    std::string hexText();

private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> m_context;
};

}
