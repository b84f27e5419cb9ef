#include "gateway/streamorigins.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

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

std::string encodeRecord(const StreamStart &stream)
{
    return json{{"service", stream.service}, {"workspace", stream.workspace}, {"version", stream.version}}.dump();
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
    std::map<std::string, SoftwareVersions> services;
    for (const auto &route : m_view.routes()->configuration().routes) {
        for (const auto &share : route.shares) {
            if (route.kind == RouteKind::Streaming && route.canResume) {
                services[share.service];
            }
        }
    }
    for (auto &[name, service] : m_services) {
        if (services.count(name) == 0) {
            // Without a route nothing is followed; what is known now may be wrong when there is one again.
            service.versions = ServiceVersions();
        }
    }
    if (services.empty()) {
        return;
    }
    for (const auto *endpoint : m_view.endpoints().all()) {
        const auto it = services.find(endpoint->service);
        if (it == services.end()) {
            continue;
        }
        it->second.registered.insert(endpoint->softwareVersion);
        if (m_view.endpoints().mayReceiveRequests(*endpoint)) {
            it->second.serving.insert(endpoint->softwareVersion);
        }
    }
    for (auto &[name, versions] : services) {
        m_services[name].versions.setVersions(std::move(versions), m_loop.now());
        updateBase(name);
    }
    recordLate();
}

void StreamOrigins::updateBase(const std::string &service)
{
    const auto &versions = m_services[service].versions;
    if (versions.mustReadBase()) {
        readBase(service);
    } else if (const auto next = versions.nextBase(settledAt())) {
        writeBase(service, {*next, false});
    } else if (versions.mustCloseBase(settledAt())) {
        writeBase(service, {versions.base()->version, true});
    }
}

void StreamOrigins::readBase(const std::string &service)
{
    auto &state = m_services[service];
    if (std::exchange(state.isReading, true)) {
        return;
    }
    m_store.get(baseKey(service), [this, service, registered = state.versions.versions().registered](const MetadataReply &reply) {
        auto &current = m_services[service];
        current.isReading = false;
        // An answer to a question that is older than the newest change of the versions proves nothing.
        if (registered != current.versions.versions().registered) {
            update();
            return;
        }
        const bool isAnswered = reply.status == MetadataStatus::Done || reply.status == MetadataStatus::NotFound;
        if (!isAnswered) {
            return;
        }
        const bool hasBase = reply.status == MetadataStatus::Done && !reply.items.empty();
        current.baseRevision = hasBase ? reply.items.front().revision : 0;
        current.versions.setBase(hasBase ? std::optional(decodeStreamBase(reply.items.front().value)) : std::nullopt);
        update();
    });
}

void StreamOrigins::writeBase(const std::string &service, const StreamBase &base)
{
    auto &state = m_services[service];
    if (std::exchange(state.isWriting, true)) {
        return;
    }
    const MetadataChange change{{{baseKey(service), state.baseRevision}}, {{baseKey(service), encodeStreamBase(base), 0}}, {}};
    m_store.commit(change, [this, service, base](const MetadataReply &reply) {
        m_services[service].isWriting = false;
        m_log.info("stream_base_version",
                   {{"service", service}, {"version", base.version}, {"closed", base.isClosed}, {"store", metadataStatusName(reply.status)}});
        readBase(service);
    });
}

std::optional<std::string> StreamOrigins::servingBase(const std::string &service) const
{
    const auto it = m_services.find(service);
    return it == m_services.end() ? std::nullopt : it->second.versions.servingBase(isListRecent());
}

bool StreamOrigins::mayBeginUnrecorded(const std::string &service, const std::string &version) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && it->second.versions.mayBeginUnrecorded(version, isListRecent());
}

void StreamOrigins::keepUnrecorded(const StreamStart &stream)
{
    m_unrecorded[stream.attempt] = stream;
}

void StreamOrigins::forgetUnrecorded(const std::string &attempt)
{
    m_unrecorded.erase(attempt);
}

void StreamOrigins::recordLate()
{
    std::vector<StreamStart> due;
    for (const auto &[attempt, stream] : m_unrecorded) {
        if (due.size() < MaxRecordsPerCommit && m_services[stream.service].versions.needsLateRecord(stream.version)) {
            due.push_back(stream);
        }
    }
    if (due.empty() || std::exchange(m_isRecordingLate, true)) {
        return;
    }
    withLease([this, due = std::move(due)](std::uint64_t lease) {
        if (lease == 0) {
            m_isRecordingLate = false;
            return;
        }
        MetadataChange change;
        for (const auto &stream : due) {
            change.writes.push_back({recordKey(stream.attempt), encodeRecord(stream), lease});
        }
        commitRecords(change, [this, due](OriginRecording recording) {
            m_isRecordingLate = false;
            m_log.info("streams_recorded_late", {{"streams", due.size()}, {"stored", recording == OriginRecording::Recorded}});
            if (recording != OriginRecording::Recorded) {
                return;
            }
            for (const auto &stream : due) {
                m_unrecorded.erase(stream.attempt);
            }
            recordLate();
        });
    });
}

void StreamOrigins::record(const StreamStart &stream, bool isForced, std::function<void(OriginRecording)> callback)
{
    const auto it = m_services.find(stream.service);
    const bool isNeeded = isForced || it == m_services.end() || it->second.versions.mustRecord(stream.version, isListRecent());
    if (!isNeeded) {
        callback(OriginRecording::NotNeeded);
        return;
    }
    withLease([this, key = recordKey(stream.attempt), value = encodeRecord(stream), callback = std::move(callback)](std::uint64_t lease) {
        if (lease == 0) {
            callback(OriginRecording::NotRecorded);
        } else {
            commitRecords({{}, {{key, value, lease}}, {}}, callback);
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

void StreamOrigins::commitRecords(const MetadataChange &change, std::function<void(OriginRecording)> callback)
{
    m_store.commit(change, [this, callback = std::move(callback)](const MetadataReply &reply) {
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

bool StreamOrigins::isListRecent() const
{
    const auto verifiedAt = m_view.endpointsVerifiedAt();
    return verifiedAt && m_loop.now() - *verifiedAt <= ServiceVersions::MaxUnverifiedTime;
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
        const auto base = hasBase ? std::optional(decodeStreamBase(reply.items.front().value)) : std::nullopt;
        callback({base && !base->isClosed ? std::optional(base->version) : std::nullopt});
    });
}

}
