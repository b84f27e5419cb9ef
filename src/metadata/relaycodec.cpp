#include "metadata/relaycodec.h"

#include "net/base64.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

/// Values are arbitrary bytes.
std::string decodeBytes(const json &text)
{
    const auto bytes = fromBase64(text.get<std::string>());
    if (!bytes) {
        throw std::invalid_argument("a value is not base64");
    }
    return *bytes;
}

json encodeChange(const MetadataChange &change)
{
    auto preconditions = json::array();
    for (const auto &precondition : change.preconditions) {
        preconditions.push_back({precondition.key, precondition.revision});
    }
    auto writes = json::array();
    for (const auto &write : change.writes) {
        writes.push_back({write.key, toBase64(write.value), write.lease});
    }
    return {{"if", std::move(preconditions)}, {"write", std::move(writes)}, {"remove", change.removals}};
}

MetadataChange decodeChange(const json &object)
{
    MetadataChange change;
    for (const auto &row : object.at("if")) {
        change.preconditions.push_back({row.at(0).get<std::string>(), row.at(1).get<std::uint64_t>()});
    }
    for (const auto &row : object.at("write")) {
        change.writes.push_back({row.at(0).get<std::string>(), decodeBytes(row.at(1)), row.at(2).get<std::uint64_t>()});
    }
    change.removals = object.at("remove").get<std::vector<std::string>>();
    return change;
}

json encodeItem(const MetadataItem &item)
{
    return {item.key, toBase64(item.value), item.revision, item.created, item.lease, item.isRemoval};
}

MetadataItem decodeItem(const json &row)
{
    return {row.at(0).get<std::string>(),
            decodeBytes(row.at(1)),
            row.at(2).get<std::uint64_t>(),
            row.at(3).get<std::uint64_t>(),
            row.at(4).get<std::uint64_t>(),
            row.at(5).get<bool>()};
}

template <typename T, typename Decode>
Result<T> decodeText(std::string_view text, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (const json::exception &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    } catch (const std::invalid_argument &error) {
        return Error{ResultCode::MalformedRequest, error.what()};
    }
}

}

std::string encodeRelayedCall(const RelayedCall &call)
{
    return json{{"kind", static_cast<int>(call.kind)},
                {"key", call.key},
                {"after", call.afterKey},
                {"number", call.number},
                {"span_ms", call.span.count()},
                {"change", encodeChange(call.change)}}
        .dump();
}

Result<RelayedCall> decodeRelayedCall(std::string_view text)
{
    return decodeText<RelayedCall>(text, [](const json &object) {
        RelayedCall call;
        const int kind = object.at("kind").get<int>();
        if (kind < 0 || kind > static_cast<int>(RelayedCallKind::EndLease)) {
            throw std::invalid_argument("kind is unknown");
        }
        call.kind = static_cast<RelayedCallKind>(kind);
        call.key = object.at("key").get<std::string>();
        call.afterKey = object.at("after").get<std::string>();
        call.number = object.at("number").get<std::uint64_t>();
        call.span = Milliseconds(object.at("span_ms").get<std::int64_t>());
        call.change = decodeChange(object.at("change"));
        return call;
    });
}

std::string encodeRelayedReply(const MetadataReply &reply)
{
    auto items = json::array();
    for (const auto &item : reply.items) {
        items.push_back(encodeItem(item));
    }
    return json{{"status", static_cast<int>(reply.status)},
                {"items", std::move(items)},
                {"more", reply.hasMore},
                {"revision", reply.revision},
                {"lease", reply.lease},
                {"lease_ms", reply.leaseTime.count()}}
        .dump();
}

Result<MetadataReply> decodeRelayedReply(std::string_view text)
{
    return decodeText<MetadataReply>(text, [](const json &object) {
        MetadataReply reply;
        const int status = object.at("status").get<int>();
        if (status < 0 || status > static_cast<int>(MetadataStatus::Unknown)) {
            throw std::invalid_argument("status is unknown");
        }
        reply.status = static_cast<MetadataStatus>(status);
        for (const auto &row : object.at("items")) {
            reply.items.push_back(decodeItem(row));
        }
        reply.hasMore = object.at("more").get<bool>();
        reply.revision = object.at("revision").get<std::uint64_t>();
        reply.lease = object.at("lease").get<std::uint64_t>();
        reply.leaseTime = Milliseconds(object.at("lease_ms").get<std::int64_t>());
        return reply;
    });
}

void runRelayedCall(MetadataStore &store, const RelayedCall &call, MetadataStore::Callback callback)
{
    switch (call.kind) {
    case RelayedCallKind::Get:
        store.get(call.key, std::move(callback));
        break;
    case RelayedCallKind::List:
        store.list(call.key, call.afterKey, std::move(callback));
        break;
    case RelayedCallKind::Watch:
        store.watch(call.key, call.number, call.span, std::move(callback));
        break;
    case RelayedCallKind::Commit:
        store.commit(call.change, std::move(callback));
        break;
    case RelayedCallKind::CreateLease:
        store.createLease(call.span, std::move(callback));
        break;
    case RelayedCallKind::RenewLease:
        store.renewLease(call.number, std::move(callback));
        break;
    case RelayedCallKind::EndLease:
        store.endLease(call.number, std::move(callback));
        break;
    }
}

}
