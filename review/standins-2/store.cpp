#include "store.h"

#include <thread>

namespace Review
{

namespace
{

using nlohmann::json;

constexpr std::size_t MaxPageItems = 500;
constexpr std::size_t MaxPageBytes = 1024 * 1024;
constexpr std::size_t MaxValueBytes = 1024 * 1024;
constexpr std::size_t MaxKeyBytes = 200;
constexpr std::size_t MaxEntries = 32;
constexpr std::size_t KeptEvents = 20000;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::uint64_t number(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

void answer(Channel &channel, int status, const json &body)
{
    Fields fields;
    fields.add("Content-Type", "application/json");
    channel.respond(status, fields, body.dump());
}

}

Store::Store()
    : m_server([this](Channel &channel, const Request &request) {
        handle(channel, request);
        return true;
    })
{
    std::thread([this] {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            const std::lock_guard lock(m_mutex);
            expireLeases();
        }
    }).detach();
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    write(key, value, 0);
}

void Store::erase(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    remove(key);
}

std::string Store::get(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::string() : it->second.value;
}

void Store::setBusy(bool isBusy)
{
    const std::lock_guard lock(m_mutex);
    m_isBusy = isBusy;
    m_changed.notify_all();
}

bool Store::isBusy()
{
    const std::lock_guard lock(m_mutex);
    return m_isBusy;
}

json Store::itemObject(const std::string &key, const Item &item) const
{
    return {{"key", key}, {"value", toBase64(item.value)}, {"revision", item.revision}, {"created", item.created}, {"lease", item.lease}};
}

json Store::eventObject(const Event &event) const
{
    return event.isRemoval ? json{{"key", event.key}, {"revision", event.item.revision}, {"deleted", true}} : itemObject(event.key, event.item);
}

void Store::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    const auto it = m_items.find(key);
    const Item item{value, m_revision, it == m_items.end() ? m_revision : it->second.created, lease};
    m_items[key] = item;
    m_history.push_back({key, false, item});
    while (m_history.size() > KeptEvents) {
        m_history.pop_front();
    }
    m_changed.notify_all();
}

void Store::remove(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({key, true, {{}, m_revision, 0, 0}});
        m_changed.notify_all();
    }
}

void Store::endLease(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        ++m_revision;
        remove(key);
    }
}

void Store::expireLeases()
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : m_leases) {
        if (Clock::now() >= lease.end) {
            ended.push_back(id);
        }
    }
    for (const auto id : ended) {
        endLease(id);
    }
}

void Store::handle(Channel &channel, const Request &request)
{
    const auto path = request.path();
    if (path == "/-/kv-watch") {
        watch(channel, request);
        return;
    }
    const std::lock_guard lock(m_mutex);
    expireLeases();
    if (m_isBusy) {
        answer(channel, 503, json::object());
    } else if (path == "/-/kv-key") {
        const auto it = m_items.find(request.query("key"));
        if (it == m_items.end()) {
            answer(channel, 404, {{"current_rev", m_revision}});
        } else {
            auto body = itemObject(it->first, it->second);
            body["current_rev"] = m_revision;
            answer(channel, 200, body);
        }
    } else if (path == "/-/kv-range") {
        list(channel, request);
    } else if (path == "/-/kv-txn") {
        commit(channel, request);
    } else if (path == "/-/kv-lease") {
        const std::chrono::milliseconds span(json::parse(request.body).at("ttl_ms").get<int>());
        m_leases[++m_lastLease] = {span, Clock::now() + span};
        answer(channel, 200, {{"lease", m_lastLease}, {"ttl_ms", span.count()}});
    } else if (startsWith(path, "/-/kv-keep/")) {
        const auto it = m_leases.find(number(path.substr(11)));
        if (it != m_leases.end()) {
            it->second.end = Clock::now() + it->second.span;
        }
        answer(channel, it == m_leases.end() ? 404 : 200, {{"ttl_ms", it == m_leases.end() ? 0 : it->second.span.count()}});
    } else if (startsWith(path, "/-/kv-lease-end/")) {
        endLease(number(path.substr(16)));
        answer(channel, 200, json::object());
    } else {
        answer(channel, 404, json::object());
    }
}

void Store::list(Channel &channel, const Request &request)
{
    const auto prefix = request.query("path_prefix");
    const auto after = request.query("after");
    auto items = json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (auto it = m_items.lower_bound(prefix); it != m_items.end() && startsWith(it->first, prefix); ++it) {
        if (!after.empty() && it->first <= after) {
            continue;
        }
        bytes += it->second.value.size();
        if (!items.empty() && (items.size() >= MaxPageItems || bytes > MaxPageBytes)) {
            hasMore = true;
            break;
        }
        items.push_back(itemObject(it->first, it->second));
    }
    answer(channel, 200, {{"items", items}, {"more_pages", hasMore}, {"current_rev", m_revision}});
}

void Store::watch(Channel &channel, const Request &request)
{
    const auto prefix = request.query("path_prefix");
    const auto after = number(request.query("after"));
    const auto until = Clock::now() + std::chrono::milliseconds(number(request.query("wait_ms")));
    auto events = json::array();
    std::uint64_t revision = 0;
    bool isBusy = false;
    {
        std::unique_lock lock(m_mutex);
        while (!m_isBusy) {
            if (!m_history.empty() && m_history.size() >= KeptEvents && m_history.front().item.revision > after + 1) {
                break;
            }
            for (auto it = m_history.rbegin(); it != m_history.rend() && it->item.revision > after; ++it) {
                if (startsWith(it->key, prefix)) {
                    events.insert(events.begin(), eventObject(*it));
                }
            }
            revision = m_revision;
            if (!events.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                revision = m_revision;
                break;
            }
        }
        isBusy = m_isBusy;
    }
    if (isBusy) {
        answer(channel, 503, json::object());
        return;
    }
    answer(channel, revision == 0 ? 410 : 200, {{"events", events}, {"current_rev", revision}});
}

void Store::commit(Channel &channel, const Request &request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        answer(channel, 400, json::object());
        return;
    }
    const auto preconditions = body.value("precondition", json::array());
    const auto writes = body.value("writes", json::array());
    const auto removals = body.value("remove", json::array());
    bool isValid = preconditions.size() + writes.size() + removals.size() <= MaxEntries;
    bool hasLeases = true;
    for (const auto &row : writes) {
        const auto key = row.at("key").get<std::string>();
        isValid = isValid && key.size() <= MaxKeyBytes && fromBase64(row.at("value").get_ref<const std::string &>()).size() <= MaxValueBytes;
        const auto lease = row.value("lease", std::uint64_t{0});
        hasLeases = hasLeases && (lease == 0 || m_leases.count(lease) > 0);
    }
    if (!isValid || !hasLeases) {
        answer(channel, isValid ? 404 : 400, json::object());
        return;
    }
    bool holds = true;
    auto current = json::array();
    for (const auto &row : preconditions) {
        const auto it = m_items.find(row.at("key").get<std::string>());
        holds = holds && (it == m_items.end() ? 0 : it->second.revision) == row.at("revision").get<std::uint64_t>();
        if (it != m_items.end()) {
            current.push_back(itemObject(it->first, it->second));
        }
    }
    if (!holds) {
        answer(channel, 412, {{"items", current}, {"current_rev", m_revision}});
        return;
    }
    ++m_revision;
    for (const auto &row : writes) {
        write(row.at("key").get<std::string>(), fromBase64(row.at("value").get_ref<const std::string &>()), row.value("lease", std::uint64_t{0}));
    }
    for (const auto &key : removals) {
        remove(key.get<std::string>());
    }
    answer(channel, 200, {{"revision", m_revision}});
}

}
