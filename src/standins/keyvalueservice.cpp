#include "standins/keyvalueservice.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

constexpr std::uint64_t DefaultWatchMs = 10000;
// The published bound of the service on a value.
constexpr std::size_t MaxValueBytes = std::size_t{1024} * 1024;
constexpr std::size_t SecondsKept = 600;

nlohmann::json toJson(const StoreEntry &entry)
{
    return {{"key", entry.key}, {"value", entry.value}, {"version", entry.version}};
}

nlohmann::json toJson(const std::vector<StoreEntry> &entries)
{
    auto list = nlohmann::json::array();
    for (const auto &entry : entries) {
        list.push_back(toJson(entry));
    }
    return {{"entries", std::move(list)}};
}

}

KeyValueService::KeyValueService()
    : StandIn({{"outage", false}, {"refuse", false}, {"answer_lost", 0}})
{
}

nlohmann::json KeyValueService::stats() const
{
    std::uint64_t peak = 0;
    std::uint64_t all = 0;
    for (const auto &[second, calls] : m_callsPerSecond) {
        peak = std::max(peak, calls);
    }
    for (const auto &[kind, calls] : m_calls) {
        all += calls;
    }
    return {{"calls", m_calls}, {"calls_total", all}, {"calls_per_second_peak", peak}, {"keys", m_table.size()}, {"watches", m_watches.size()}};
}

void KeyValueService::serve(HttpRequest &request, std::unique_ptr<HttpResponder> &responder, Timestamp now)
{
    if (faults().isOn("outage")) {
        count("during_outage", now);
        responder->abort();
        return;
    }
    if (faults().isOn("refuse")) {
        count("refused", now);
        responder->respond(errorResponse({ResultCode::StoreUnavailable, "the key-value service refuses calls"}));
        return;
    }
    if (request.path == "/kv" && request.method == "PUT") {
        count("write", now);
        write(request, *responder, now);
    } else if (request.path == "/kv" && request.method == "GET") {
        count("get", now);
        responder->respond(get(queryText(request, "key"), now));
    } else if (request.path == "/kv/list" && request.method == "GET") {
        count("list", now);
        responder->respond(jsonResponse(200, Internal::toJson(m_table.list(queryText(request, "prefix"), queryNumber(request, "after", 0), now))));
    } else if (request.path == "/kv/watch" && request.method == "GET") {
        count("watch", now);
        const Milliseconds wait{queryNumber(request, "wait_ms", Internal::DefaultWatchMs)};
        m_watches.push_back({queryText(request, "prefix"), queryNumber(request, "after", 0), now + wait, std::move(responder)});
        answerWatches(now);
    } else {
        responder->respond(errorResponse({ResultCode::UnknownPath, request.method + " " + request.path}));
    }
}

void KeyValueService::advance(Timestamp now)
{
    if (faults().isOn("outage")) {
        m_watches.clear();
    }
    answerWatches(now);
}

HttpResponse KeyValueService::get(const std::string &key, Timestamp now)
{
    const auto entry = m_table.get(key, now);
    return entry ? jsonResponse(200, Internal::toJson(*entry)) : errorResponse({ResultCode::UnknownPath, "no key " + key});
}

void KeyValueService::write(const HttpRequest &request, HttpResponder &responder, Timestamp now)
{
    const auto body = parseBody(request);
    const auto value = body.at("value").get<std::string>();
    if (value.size() > Internal::MaxValueBytes) {
        responder.respond(errorResponse({ResultCode::BodyTooLarge, "values hold at most one megabyte"}));
        return;
    }
    const Milliseconds lease{body.value("lease_ms", std::int64_t{0})};
    const auto version = m_table.compareAndSwap(body.at("key").get<std::string>(), body.at("expected_version").get<std::uint64_t>(), value, lease, now);
    if (faults().take("answer_lost")) {
        responder.abort();
    } else {
        responder.respond(version ? jsonResponse(200, {{"version", version.value()}}) : errorResponse(version.error()));
    }
    answerWatches(now);
}

void KeyValueService::answerWatches(Timestamp now)
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        const auto changed = m_table.list(it->prefix, it->after, now);
        if (changed.empty() && now < it->due && it->responder->isOpen()) {
            ++it;
            continue;
        }
        it->responder->respond(jsonResponse(200, Internal::toJson(changed)));
        it = m_watches.erase(it);
    }
}

void KeyValueService::count(const std::string &kind, Timestamp now)
{
    ++m_calls[kind];
    ++m_callsPerSecond[now.milliseconds() / 1000];
    if (m_callsPerSecond.size() > Internal::SecondsKept) {
        m_callsPerSecond.erase(m_callsPerSecond.begin());
    }
}

}
