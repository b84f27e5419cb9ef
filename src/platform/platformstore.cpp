#include "platform/platformstore.h"

#include "metadata/watchtiming.h"
#include "net/base64.h"
#include "platform/jsonfields.h"

namespace Basilbend
{

namespace
{

using nlohmann::json;

/// The store responds within milliseconds normally and within a few hundred milliseconds when it is slow.
constexpr Milliseconds CallTimeout{1200};
/// Short enough that a leader can renew its lease again after a renewal without response.
constexpr Milliseconds LeaseCallTimeout{700};

MetadataItem decodeItem(const json &object)
{
    MetadataItem item;
    item.key = Wire::requiredString(object, "key");
    item.revision = Wire::unsignedOr(object, "revision", 0);
    item.createdRevision = Wire::unsignedOr(object, "created", 0);
    item.lease = Wire::unsignedOr(object, "lease", 0);
    item.isRemoval = Wire::boolOr(object, "deleted", false);
    if (!item.isRemoval) {
        const auto value = fromBase64(Wire::stringOr(object, "value", {}));
        if (!value) {
            throw Wire::FieldError{"value of " + item.key + " is not base64"};
        }
        item.value = *value;
    }
    return item;
}

MetadataReply decodeReply(const json &object)
{
    MetadataReply reply;
    for (const auto *list : {"items", "events"}) {
        for (const auto &item : Wire::arrayOrEmpty(object, list)) {
            // The entry for a failed precondition on a missing key may be empty.
            if (item.is_object() && item.contains("key")) {
                reply.items.push_back(decodeItem(item));
            }
        }
    }
    if (object.contains("key")) {
        reply.items.push_back(decodeItem(object));
    }
    reply.hasMore = Wire::boolOr(object, "more_pages", false);
    reply.revision = Wire::unsignedOr(object, "current_rev", Wire::unsignedOr(object, "revision", 0));
    reply.lease = Wire::unsignedOr(object, "lease", 0);
    reply.leaseDuration = Milliseconds(Wire::unsignedOr(object, "ttl_ms", 0));
    return reply;
}

MetadataStatus metadataStatusOf(int httpStatus)
{
    switch (httpStatus) {
    case 200:
        return MetadataStatus::Done;
    case 404:
        return MetadataStatus::NotFound;
    case 410:
        return MetadataStatus::HistoryGone;
    case 412:
        return MetadataStatus::Conflict;
    case 400:
    case 403:
    case 413:
    case 429:
    case 503:
        return MetadataStatus::Refused;
    default:
        return MetadataStatus::Unknown;
    }
}

MetadataReply decodeHttpReply(int httpStatus, const std::string &body)
{
    MetadataReply reply;
    const auto status = metadataStatusOf(httpStatus);
    if (status == MetadataStatus::Done || status == MetadataStatus::Conflict) {
        auto decoded = Wire::decodeObject(body, decodeReply);
        if (!decoded) {
            return reply;
        }
        reply = std::move(decoded.value());
    }
    reply.status = status;
    return reply;
}

RequestMessage makePostRequest(const std::string &target, const json &body)
{
    return {"POST", target, {{"Content-Type", "application/json"}}, body.dump()};
}

/// Appends the writes as a list. Values may be large, so they are encoded into the text directly.
void appendWrites(std::string &to, const std::vector<MetadataWrite> &writes)
{
    to += '[';
    for (const auto &write : writes) {
        to += to.back() == '[' ? "" : ",";
        to += R"({"key":)" + json(write.key).dump() + R"(,"lease":)" + std::to_string(write.lease) + R"(,"value":")";
        to += toBase64(write.value);
        to += R"("})";
    }
    to += ']';
}

std::string encodeChange(const MetadataChange &change)
{
    auto preconditions = json::array();
    for (const auto &precondition : change.preconditions) {
        preconditions.push_back({{"key", precondition.key}, {"revision", precondition.revision}});
    }
    const auto start = R"({"precondition":)" + preconditions.dump() + R"(,"remove":)" + json(change.removals).dump() + R"(,"writes":)";
    constexpr std::size_t EntryBytes = 300;
    std::size_t n = start.size() + EntryBytes;
    for (const auto &write : change.writes) {
        n += EntryBytes + write.value.size() * 4 / 3;
    }
    std::string text;
    text.reserve(n);
    text += start;
    appendWrites(text, change.writes);
    text += '}';
    return text;
}

}

PlatformStore::PlatformStore(StoreTransport &transport)
    : m_transport(transport)
{
}

void PlatformStore::get(const std::string &key, Callback callback)
{
    ++m_counts.gets;
    send({"GET", "/-/kv-key?key=" + percentEncoded(key), {}, {}}, CallTimeout, true, std::move(callback));
}

void PlatformStore::list(const std::string &prefix, const std::string &afterKey, Callback callback)
{
    ++m_counts.lists;
    auto target = "/-/kv-range?path_prefix=" + percentEncoded(prefix);
    if (!afterKey.empty()) {
        target += "&after=" + percentEncoded(afterKey);
    }
    send({"GET", target, {}, {}}, CallTimeout, true, std::move(callback));
}

void PlatformStore::watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback)
{
    ++m_counts.watches;
    const auto target =
        "/-/kv-watch?path_prefix=" + percentEncoded(prefix) + "&after=" + std::to_string(afterRevision) + "&wait_ms=" + std::to_string(span.count());
    send({"GET", target, {}, {}}, WatchTiming::timeoutFor(span), true, std::move(callback));
}

void PlatformStore::commit(const MetadataChange &change, Callback callback)
{
    ++m_counts.commits;
    send({"POST", "/-/kv-txn", {{"Content-Type", "application/json"}}, encodeChange(change)}, CallTimeout, false, std::move(callback));
}

void PlatformStore::createLease(Milliseconds span, Callback callback)
{
    ++m_counts.leaseCalls;
    send(makePostRequest("/-/kv-lease", {{"ttl_ms", span.count()}}), LeaseCallTimeout, true, std::move(callback));
}

void PlatformStore::renewLease(std::uint64_t lease, Callback callback)
{
    ++m_counts.leaseCalls;
    send({"POST", "/-/kv-keep/" + std::to_string(lease), {}, {}}, LeaseCallTimeout, true, std::move(callback));
}

void PlatformStore::revokeLease(std::uint64_t lease, Callback callback)
{
    ++m_counts.leaseCalls;
    send({"DELETE", "/-/kv-lease-end/" + std::to_string(lease), {}, {}}, LeaseCallTimeout, true, std::move(callback));
}

void PlatformStore::send(RequestMessage message, Milliseconds timeout, bool isIdempotent, Callback callback)
{
    ++m_counts.calls;
    m_transport.send({std::move(message), timeout, isIdempotent}, [this, callback = std::move(callback)](const StoreResponse &response) {
        MetadataReply reply;
        if (response.isRefusal()) {
            reply.status = MetadataStatus::Refused;
        } else if (response.isAnswer()) {
            reply = decodeHttpReply(response.status, response.body);
        }
        m_counts.refused += reply.status == MetadataStatus::Refused ? 1 : 0;
        m_counts.unanswered += reply.status == MetadataStatus::Unknown ? 1 : 0;
        callback(std::move(reply));
    });
}

}
