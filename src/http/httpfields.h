#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Basilbend
{

/// One header field as it stands on the wire.
struct HttpField {
    std::string name;
    std::string value;
};

inline bool operator==(const HttpField &a, const HttpField &b)
{
    return a.name == b.name && a.value == b.value;
}

/// Compares field names: ASCII, without regard to case.
bool isSameFieldName(std::string_view a, std::string_view b);

/// The header fields of one message, in their order on the wire. Names are compared without regard to case.
class HttpFields
{
public:
    HttpFields() = default;
    HttpFields(std::initializer_list<HttpField> fields)
        : m_fields(fields)
    {
    }

    /// The value of the first field of that name, or null.
    const std::string *find(std::string_view name) const;

    /// The value of the first field of that name, or an empty text.
    std::string_view value(std::string_view name) const;

    /// How many fields have that name.
    std::size_t count(std::string_view name) const;

    void add(std::string name, std::string value);

    /// Replaces all fields of that name by one.
    void set(std::string_view name, std::string value);

    void remove(std::string_view name);

    /// Removes what concerns one connection only: Connection and the fields that it names, Keep-Alive, Transfer-Encoding,
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
