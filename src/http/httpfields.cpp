#include "http/httpfields.h"

#include <algorithm>
#include <set>

namespace Basilbend
{

namespace
{

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string lowerCased(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lowerCase);
    return result;
}

/// Splits a comma-separated list and strips the whitespace around its elements.
std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> names;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        auto name = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        while (!name.empty() && (name.front() == ' ' || name.front() == '\t')) {
            name.remove_prefix(1);
        }
        while (!name.empty() && (name.back() == ' ' || name.back() == '\t')) {
            name.remove_suffix(1);
        }
        if (!name.empty()) {
            names.emplace_back(name);
        }
    }
    return names;
}

}

bool isSameFieldName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lowerCase(x) == lowerCase(y); });
}

const std::string *HttpFields::find(std::string_view name) const
{
    const auto it = std::find_if(m_fields.begin(), m_fields.end(), [name](const HttpField &field) { return isSameFieldName(field.name, name); });
    return it == m_fields.end() ? nullptr : &it->value;
}

std::string_view HttpFields::value(std::string_view name) const
{
    const auto *text = find(name);
    return text == nullptr ? std::string_view() : std::string_view(*text);
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(), [name](const HttpField &field) { return isSameFieldName(field.name, name); }));
}

void HttpFields::add(std::string name, std::string value)
{
    m_fields.push_back({std::move(name), std::move(value)});
}

std::size_t HttpFields::heldBytes() const
{
    std::size_t n = m_fields.capacity() * sizeof(HttpField);
    for (const auto &field : m_fields) {
        n += field.name.size() + field.value.size();
    }
    return n;
}

void HttpFields::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void HttpFields::remove(std::string_view name)
{
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), [name](const HttpField &field) { return isSameFieldName(field.name, name); }),
                   m_fields.end());
}

void HttpFields::removeHopByHop()
{
    std::set<std::string> names;
    for (const auto &name : splitList(value("Connection"))) {
        names.insert(lowerCased(name));
    }
    names.insert({"connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te", "trailer", "proxy-connection", "expect"});
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), [&names](const HttpField &field) { return names.count(lowerCased(field.name)) > 0; }),
                   m_fields.end());
}

}
