#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>

namespace Basilbend
{

/// Strict reader for the fields of a JSON object. Each read marks its field as known. result() fails with MalformedRequest or
/// ValueOutOfRange for the first field that was missing, of the wrong type or out of range, and with UnknownField for a
/// field that was never read.
class JsonReader
{
public:
    /// The object must outlive the reader. The context identifies it in error messages, for example "plan".
    JsonReader(const nlohmann::json &object, std::string context);

    std::string text(const std::string &field);
    std::string textOr(const std::string &field, std::string fallback);

    /// A name: 1 to 64 characters out of a-z, 0-9, '.', '_' and '-'.
    std::string name(const std::string &field);

    std::uint64_t number(const std::string &field, std::uint64_t minimum, std::uint64_t maximum);
    std::uint64_t numberOr(const std::string &field, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    bool flagOr(const std::string &field, bool fallback);
    std::set<std::string> textsOr(const std::string &field, std::set<std::string> fallback);
    std::map<std::string, std::uint64_t> numbersOr(const std::string &field, std::map<std::string, std::uint64_t> fallback);

    /// Succeeds when all reads succeeded and the object has no unknown field. Must be called after the last read.
    Result<void> result() const;

private:
    const nlohmann::json *find(const std::string &field, bool required);
    void fail(ResultCode code, const std::string &message);

    const nlohmann::json &m_object;
    std::string m_context;
    std::set<std::string> m_knownFields;
    std::optional<Error> m_error;
};

/// Parses a text that must be one JSON object. The context identifies it in the error message.
Result<nlohmann::json> parseJsonObject(const std::string &text, const std::string &context);

}
