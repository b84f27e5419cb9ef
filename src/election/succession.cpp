#include "election/succession.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr const char *RequestKey = "leader/request";
constexpr const char *OfferPrefix = "leader/offer/";
constexpr const char *SuccessorKey = "leader/successor";

/// Returns a number of a record; zero if it is missing, which is the revision of no item.
std::uint64_t numberField(const json &record, const char *name)
{
    const auto it = record.is_object() ? record.find(name) : record.end();
    return record.is_object() && it != record.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::string textField(const json &record, const char *name)
{
    const auto it = record.is_object() ? record.find(name) : record.end();
    return record.is_object() && it != record.end() && it->is_string() ? it->get<std::string>() : std::string();
}

json parse(const MetadataItem &item)
{
    return json::parse(item.value, nullptr, false);
}

std::string dump(const json &record)
{
    return record.dump(-1, ' ', false, json::error_handler_t::replace);
}

}

std::string Succession::requestKey()
{
    return RequestKey;
}

std::string Succession::offerKey(const std::string &node)
{
    return OfferPrefix + node;
}

std::string Succession::successorKey()
{
    return SuccessorKey;
}

std::string Succession::encodeRequest(std::uint64_t term)
{
    return dump({{"term", term}});
}

std::string Succession::encodeOffer(std::uint64_t requestRevision)
{
    return dump({{"request", requestRevision}});
}

std::string Succession::encodeSuccessor(std::uint64_t term, const std::string &node)
{
    return dump({{"term", term}, {"node", node}});
}

void Succession::clear()
{
    m_request.reset();
    m_offers.clear();
    m_choice.reset();
}

void Succession::apply(const MetadataItem &item)
{
    const std::string prefix = OfferPrefix;
    if (item.key == RequestKey) {
        m_request = item.isRemoval ? std::nullopt : std::optional(SuccessorRequest{numberField(parse(item), "term"), item.revision});
    } else if (item.key == SuccessorKey) {
        const auto record = item.isRemoval ? json() : parse(item);
        m_choice = item.isRemoval ? std::nullopt : std::optional(Choice{numberField(record, "term"), textField(record, "node")});
    } else if (item.key.compare(0, prefix.size(), prefix) == 0) {
        const auto node = item.key.substr(prefix.size());
        if (item.isRemoval) {
            m_offers.erase(node);
        } else {
            m_offers[node] = numberField(parse(item), "request");
        }
    }
}

std::vector<std::string> Succession::offers() const
{
    std::vector<std::string> nodes;
    for (const auto &[node, revision] : m_offers) {
        if (m_request && revision == m_request->revision) {
            nodes.push_back(node);
        }
    }
    return nodes;
}

std::optional<std::string> Succession::successorOf(std::uint64_t term) const
{
    const bool isNamed = m_choice && m_choice->term == term && term != 0;
    return isNamed ? std::optional(m_choice->node) : std::nullopt;
}

}
