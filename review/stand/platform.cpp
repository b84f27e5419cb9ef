#include "stand/platform.h"

#include "net/base64.h"
#include "platform/wirenames.h"

#include <nlohmann/json.hpp>

namespace Basilbend::Review
{

namespace
{

using nlohmann::json;

constexpr Milliseconds TimeSyncInterval{2};
constexpr const char *RenewPath = "/-/kv-keep/";
constexpr const char *EndPath = "/-/kv-lease-end/";

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

Platform::Platform(asio::io_context &io, EventLoop loop, Record &record)
    : m_loop(std::move(loop))
    , m_record(record)
    , m_time(m_loop.now())
    , m_store(m_time)
    , m_storeServer(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { handleStoreCall(exchange); }))
    , m_reportServer(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) {
                         m_record.add("usage " + exchange->request().body);
                         exchange->respond({200, {}, {}});
                     }))
{
    syncTime();
}

void Platform::syncTime()
{
    m_time.advanceTo(m_loop.now());
    m_loop.runAfter(TimeSyncInterval, [this] { syncTime(); });
}

MetadataStore::Callback Platform::answerTo(const std::shared_ptr<ServerExchange> &exchange, const char *listName) const
{
    return [this, exchange, listName](const MetadataReply &reply) {
        const int status = httpStatusOf(reply.status);
        if (status == 0 || resetsCalls) {
            exchange->abort();
            return;
        }
        json body{{"current_rev", reply.revision}, {"revision", reply.revision}, {"more_pages", reply.hasMore}};
        body["lease"] = reply.lease;
        body["ttl_ms"] = reply.leaseDuration.count();
        if (listName == nullptr) {
            if (!reply.items.empty()) {
                body.update(encodeItem(reply.items.front()));
            }
        } else {
            body[listName] = json::array();
            for (const auto &item : reply.items) {
                body[listName].push_back(encodeItem(item));
            }
        }
        exchange->respond({status, {{"Content-Type", "application/json"}}, body.dump()});
    };
}

void Platform::handleStoreCall(const std::shared_ptr<ServerExchange> &exchange)
{
    if (resetsCalls) {
        exchange->abort();
        return;
    }
    const auto &target = exchange->request().target;
    const auto path = targetPath(target);
    if (path == "/-/kv-key") {
        m_store.get(queryValue(target, "key"), answerTo(exchange, nullptr));
    } else if (path == "/-/kv-range") {
        m_store.list(queryValue(target, "path_prefix"), queryValue(target, "after"), answerTo(exchange, "items"));
    } else if (path == "/-/kv-watch") {
        const Milliseconds span(wholeNumber(queryValue(target, "wait_ms")));
        m_store.watch(queryValue(target, "path_prefix"), wholeNumber(queryValue(target, "after")), span, answerTo(exchange, "events"));
    } else if (path == "/-/kv-txn") {
        commit(exchange);
    } else if (path == "/-/kv-lease") {
        m_store.createLease(Milliseconds(json::parse(exchange->request().body).at("ttl_ms").get<int>()), answerTo(exchange, "items"));
    } else if (startsWith(path, RenewPath)) {
        m_store.renewLease(wholeNumber(std::string(path.substr(std::string_view(RenewPath).size()))), answerTo(exchange, "items"));
    } else if (startsWith(path, EndPath)) {
        m_store.revokeLease(wholeNumber(std::string(path.substr(std::string_view(EndPath).size()))), answerTo(exchange, "items"));
    } else {
        exchange->respond({404, {}, {}});
    }
}

void Platform::commit(const std::shared_ptr<ServerExchange> &exchange)
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

void Platform::configure(const std::string &routes, const std::string &services, const std::string &tenants)
{
    const json limits{{"max_header_bytes", 16384}, {"max_body_bytes", 33554432}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    const json configuration{{"version", ++m_configuration},
                             {"routes", json::parse(routes)},
                             {"services", json::parse(services)},
                             {"limits", limits},
                             {"tenants", json::parse(tenants)}};
    m_store.put(Wire::ConfigurationKey, configuration.dump());
    m_record.add("config version " + std::to_string(m_configuration) + " acknowledged, tenants " + tenants);
}

void Platform::registerReplica(
    const std::string &id, const std::string &service, std::uint16_t port, int slots, const std::string &model, std::int64_t born, const std::string &version)
{
    json entry{{"service", service},
               {"address", "127.0.0.1:" + std::to_string(port)},
               {"zone", "z0"},
               {"version", version},
               {"slots", slots},
               {"state", "ready"},
               {"cold_remaining_ms", 0},
               {"sequence", 1},
               {"born", born}};
    if (!model.empty()) {
        entry["stage"] = "both";
        entry["models"] = {{{"name", model}, {"version", 1}, {"adapters", json::array()}}};
    }
    m_store.put(Wire::EndpointPrefix + id, entry.dump());
    m_record.add("replica " + id + " registered");
}

void Platform::removeReplica(const std::string &id)
{
    m_store.erase(Wire::EndpointPrefix + id);
    m_record.add("replica " + id + " removed from the list");
}

}
