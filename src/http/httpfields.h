#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// A header field as sent on the wire.
struct HttpField {
    std::string name;
    std::string value;
};

inline bool operator==(const HttpField &a, const HttpField &b)
{
    return a.name == b.name && a.value == b.value;
}

/// Compares two field names, ignoring ASCII case.
bool isSameFieldName(std::string_view a, std::string_view b);

/// The header fields of a message, in wire order. Names are compared ignoring ASCII case.
class HttpFields
{
public:
    HttpFields() = default;
    HttpFields(std::initializer_list<HttpField> fields)
        : m_fields(fields)
    {
    }

    /// Returns the value of the first field with this name, or null.
    const std::string *find(std::string_view name) const;

    /// Returns the value of the first field with this name, or an empty string.
    std::string_view value(std::string_view name) const;

    /// Returns the number of fields with this name.
    std::size_t count(std::string_view name) const;

    void add(std::string name, std::string value);

    void reserve(std::size_t fields)
    {
        m_fields.reserve(fields);
    }

    /// Memory that the fields hold, in bytes. A field of a few bytes on the wire holds many times as much.
    std::size_t heldBytes() const;

    /// Replaces all fields with this name by a single one.
    void set(std::string_view name, std::string value);

    void remove(std::string_view name);

    /// Removes the fields that must not be forwarded: Connection and the fields that it lists, Keep-Alive, Transfer-Encoding,
    /// Content-Length, Upgrade, TE, Trailer, Proxy-Connection, Expect.
    void removeHopByHop();

    std::vector<HttpField>::const_iterator begin() const
    {
        return m_fields.begin();
    }
    std::vector<HttpField>::const_iterator end() const
    {
        return m_fields.end();
    }

private:
    std::vector<HttpField> m_fields;
};

inline bool operator==(const HttpFields &a, const HttpFields &b)
{
    return std::vector<HttpField>(a.begin(), a.end()) == std::vector<HttpField>(b.begin(), b.end());
}

}
