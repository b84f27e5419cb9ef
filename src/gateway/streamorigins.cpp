#include "gateway/streamorigins.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace Basilbend
{

namespace
{

using nlohmann::json;

std::string baseKey(const std::string &service)
{
    return "stream/base/" + service;
}

std::string recordKey(const std::string &attempt)
{
    return "stream/origin/" + attempt;
}

std::string textField(const json &object, const char *name)
{
    const auto it = object.is_object() ? object.find(name) : object.end();
    return object.is_object() && it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

OriginRecording recordingOf(MetadataStatus status)
{
    switch (status) {
    case MetadataStatus::Done:
        return OriginRecording::Recorded;
    case MetadataStatus::Unknown:
        return OriginRecording::Unknown;
    default:
        return OriginRecording::NotRecorded;
    }
}

}

StreamOrigins::StreamOrigins(MetadataStore &store, EventLoop loop, EventLog &log, SystemView &view)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_view(view)
{
}

void StreamOrigins::update()
{
    if (m_view.routes() == nullptr) {
        return;
    }
    std::map<std::string, std::set<std::string>> registered;
    for (const auto &route : m_view.routes()->configuration().routes) {
        for (const auto &share : route.shares) {
            if (route.kind == RouteKind::Streaming && route.canResume) {
                registered[share.service];
            }
        }
    }
    if (registered.empty()) {
        return;
    }
    for (const auto *endpoint : m_view.endpoints().all()) {
        const auto it = registered.find(endpoint->service);
        if (it != registered.end()) {
            it->second.insert(endpoint->softwareVersion);
        }
    }
    for (auto &[name, versions] : registered) {
        auto &service = m_services[name];
        service.versions.setRegistered(std::move(versions), m_loop.now());
        if (service.versions.mustReadBase()) {
            readBase(name);
        } else if (const auto next = service.versions.nextBase(settledAt())) {
            writeBase(name, *next);
        }
    }
}

void StreamOrigins::readBase(const std::string &service)
{
    auto &state = m_services[service];
    if (std::exchange(state.isReading, true)) {
        return;
    }
    m_store.get(baseKey(service), [this, service, registered = state.versions.registered()](const MetadataReply &reply) {
        auto &current = m_services[service];
        current.isReading = false;
        // An answer to a question that is older than the newest change of the versions proves nothing.
        if (registered != current.versions.registered()) {
            update();
            return;
        }
        const bool isAnswered = reply.status == MetadataStatus::Done || reply.status == MetadataStatus::NotFound;
        if (!isAnswered) {
            return;
        }
        const bool hasBase = reply.status == MetadataStatus::Done && !reply.items.empty();
        current.baseRevision = hasBase ? reply.items.front().revision : 0;
        current.versions.setBase(hasBase ? std::optional(reply.items.front().value) : std::nullopt);
        update();
    });
}

void StreamOrigins::writeBase(const std::string &service, const std::string &version)
{
    auto &state = m_services[service];
    if (std::exchange(state.isWriting, true)) {
        return;
    }
    const MetadataChange change{{{baseKey(service), state.baseRevision}}, {{baseKey(service), version, 0}}, {}};
    m_store.commit(change, [this, service, version](const MetadataReply &reply) {
        m_services[service].isWriting = false;
        m_log.info("stream_base_version", {{"service", service}, {"version", version}, {"store", metadataStatusName(reply.status)}});
        readBase(service);
    });
}

std::optional<std::string> StreamOrigins::servingBase(const std::string &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || !it->second.versions.base()) {
        return std::nullopt;
    }
    const auto &versions = it->second.versions;
    return versions.registered().count(*versions.base()) > 0 ? versions.base() : std::nullopt;
}

void StreamOrigins::record(const StreamStart &stream, bool isForced, std::function<void(OriginRecording)> callback)
{
    const auto it = m_services.find(stream.service);
    const bool isNeeded = isForced || it == m_services.end() || it->second.versions.mustRecord(stream.version);
    if (!isNeeded) {
        callback(OriginRecording::Recorded);
        return;
    }
    const auto value = json{{"service", stream.service}, {"workspace", stream.workspace}, {"version", stream.version}}.dump();
    withLease([this, key = recordKey(stream.attempt), value, callback = std::move(callback)](std::uint64_t lease) {
        if (lease == 0) {
            callback(OriginRecording::NotRecorded);
        } else {
            commitRecord(key, value, lease, callback);
        }
    });
}

void StreamOrigins::withLease(std::function<void(std::uint64_t)> step)
{
    if (m_lease != 0 && m_loop.now() - m_leaseCreatedAt < LeaseUse) {
        step(m_lease);
        return;
    }
    m_store.createLease(LeaseSpan, [this, sentAt = m_loop.now(), step = std::move(step)](const MetadataReply &reply) {
        m_lease = reply.status == MetadataStatus::Done ? reply.lease : 0;
        m_leaseCreatedAt = sentAt;
        step(m_lease);
    });
}

void StreamOrigins::commitRecord(const std::string &key, const std::string &value, std::uint64_t lease, std::function<void(OriginRecording)> callback)
{
    m_store.commit({{}, {{key, value, lease}}, {}}, [this, callback = std::move(callback)](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::NotFound) {
            m_lease = 0;
        }
        callback(recordingOf(reply.status));
    });
}

void StreamOrigins::find(const std::string &service, const std::string &attempt, const std::string &workspace, std::function<void(StreamOrigin)> callback)
{
    // The own list of endpoints says nothing about a stream that another gateway has begun at a version which is missing in it.
    if (!attempt.empty()) {
        findRecord(service, attempt, workspace, std::move(callback));
        return;
    }
    const auto it = m_services.find(service);
    callback({it == m_services.end() ? std::nullopt : it->second.versions.soleVersion(settledAt())});
}

Timestamp StreamOrigins::settledAt() const
{
    const auto now = m_loop.now();
    const auto verifiedAt = m_view.endpointsVerifiedAt();
    const bool isCurrent = verifiedAt && now - *verifiedAt <= MaxListAge;
    return isCurrent ? now : Timestamp();
}

void StreamOrigins::findRecord(const std::string &service, const std::string &attempt, const std::string &workspace, std::function<void(StreamOrigin)> callback)
{
    m_store.get(recordKey(attempt), [this, service, workspace, callback = std::move(callback)](const MetadataReply &reply) {
        if (reply.status == MetadataStatus::NotFound) {
            findBase(service, callback);
            return;
        }
        if (reply.status != MetadataStatus::Done || reply.items.empty()) {
            callback({std::nullopt});
            return;
        }
        const auto record = json::parse(reply.items.front().value, nullptr, false);
        const bool isOwn = textField(record, "workspace") == workspace && textField(record, "service") == service;
        callback({isOwn ? std::optional(textField(record, "version")) : std::nullopt});
    });
}

void StreamOrigins::findBase(const std::string &service, std::function<void(StreamOrigin)> callback)
{
    m_store.get(baseKey(service), [callback = std::move(callback)](const MetadataReply &reply) {
        const bool hasBase = reply.status == MetadataStatus::Done && !reply.items.empty();
        callback({hasBase ? std::optional(reply.items.front().value) : std::nullopt});
    });
}

}
