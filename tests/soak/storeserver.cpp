#include "soak/storeserver.h"

#include "net/base64.h"

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr Milliseconds TimeSyncInterval{2};

constexpr std::string_view RenewPath = "/-/kv-keep/";
constexpr std::string_view EndPath = "/-/kv-lease-end/";

int httpStatusOf(MetadataStatus status)
{
    switch (status) {
    case MetadataStatus::Done:
        return 200;
    case MetadataStatus::NotFound:
        return 404;
    case MetadataStatus::HistoryGone:
        return 410;
    case MetadataStatus::Conflict:
        return 412;
    case MetadataStatus::Refused:
        return 503;
    case MetadataStatus::Unknown:
        break;
    }
    return 0;
}

json encodeItem(const MetadataItem &item)
{
    if (item.isRemoval) {
        return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
    }
    return {{"key", item.key}, {"value", toBase64(item.value)}, {"revision", item.revision}, {"created", item.createdRevision}, {"lease", item.lease}};
}

std::uint64_t wholeNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoull(text);
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

}

StoreServer::StoreServer(asio::io_context &io, EventLoop loop)
    : m_loop(std::move(loop))
    , m_time(m_loop.now())
    , m_store(m_time)
    , m_server(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { handle(exchange); }))
{
    syncTime();
}

void StoreServer::syncTime()
{
    m_time.advanceTo(m_loop.now());
    m_loop.runAfter(TimeSyncInterval, [this] { syncTime(); });
}

MetadataStore::Callback StoreServer::answerTo(const std::shared_ptr<ServerExchange> &exchange, const char *listName) const
{
    return [exchange, listName](const MetadataReply &reply) {
        const int status = httpStatusOf(reply.status);
        if (status == 0) {
            exchange->abort();
            return;
        }
        json body{{"current_rev", reply.revision}, {"revision", reply.revision}, {"more_pages", reply.hasMore}};
        body["lease"] = reply.lease;
        body["ttl_ms"] = reply.leaseDuration.count();
        body[listName] = json::array();
        for (const auto &item : reply.items) {
            body[listName].push_back(encodeItem(item));
        }
        exchange->respond({status, {{"Content-Type", "application/json"}}, body.dump()});
    };
}

void StoreServer::handle(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto &target = exchange->request().target;
    const auto path = targetPath(target);
    if (path == "/-/kv-key") {
        m_store.get(queryValue(target, "key"), answerTo(exchange, "items"));
    } else if (path == "/-/kv-range") {
        m_store.list(queryValue(target, "path_prefix"), queryValue(target, "after"), answerTo(exchange, "items"));
    } else if (path == "/-/kv-watch") {
        const Milliseconds span(wholeNumber(queryValue(target, "wait_ms")));
        m_store.watch(queryValue(target, "path_prefix"), wholeNumber(queryValue(target, "after")), span, answerTo(exchange, "events"));
    } else if (path == "/-/kv-txn") {
        commit(exchange);
    } else {
        handleLeaseCall(exchange, path);
    }
}

void StoreServer::handleLeaseCall(const std::shared_ptr<ServerExchange> &exchange, std::string_view path)
{
    if (path == "/-/kv-lease") {
        m_store.createLease(Milliseconds(json::parse(exchange->request().body).at("ttl_ms").get<int>()), answerTo(exchange, "items"));
    } else if (startsWith(path, RenewPath)) {
        m_store.renewLease(wholeNumber(std::string(path.substr(RenewPath.size()))), answerTo(exchange, "items"));
    } else if (startsWith(path, EndPath)) {
        m_store.revokeLease(wholeNumber(std::string(path.substr(EndPath.size()))), answerTo(exchange, "items"));
    } else {
        exchange->respond({m_store.faults.refuses ? 503 : 404, {}, {}});
    }
}

void StoreServer::commit(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto body = json::parse(exchange->request().body);
    MetadataChange change;
    for (const auto &row : body.at("precondition")) {
        change.preconditions.push_back({row.at("key").get<std::string>(), row.at("revision").get<std::uint64_t>()});
    }
    for (const auto &row : body.at("writes")) {
        change.writes.push_back({row.at("key").get<std::string>(), *fromBase64(row.at("value").get<std::string>()), row.at("lease").get<std::uint64_t>()});
    }
    for (const auto &key : body.at("remove")) {
        change.removals.push_back(key.get<std::string>());
    }
    m_store.commit(change, answerTo(exchange, "items"));
}

}
