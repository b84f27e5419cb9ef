#pragma once

#include "base/eventloop.h"
#include "catalog/systemview.h"
#include "forwarding/streamorigin.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Basilbend
{

/// Outcome of the record of a stream's version.
enum class OriginRecording {
    Recorded,
    /// A stream without a record counts as one of this version.
    NotNeeded,
    /// Nothing was stored and nothing will be.
    NotRecorded,
    /// The record may be stored, also later.
    Unknown,
};

/// A stream and the version of the endpoint that begins it.
struct StreamStart {
    std::string service;
    /// Id of the client's attempt.
    std::string attempt;
    std::string workspace;
    std::string version;
};

/// What is known of the version that began a stream.
struct StreamOrigin {
    /// Empty: the metadata store does not answer, the stream belongs to another workspace, or it began without a record when several
    /// versions might have begun it.
    std::optional<std::string> version;
};

/// Knows which software version began a stream, at every gateway and after restarts. See ServiceVersions.
class StreamOrigins
{
public:
    StreamOrigins(MetadataStore &store, EventLoop loop, EventLog &log, SystemView &view);

    /// Follows the registered versions of the services with resumable streams. Must be called periodically and after changes of the
    /// endpoints.
    void update();

    /// Records the version of the endpoint to which the attempt is sent next, if that is needed or forced. The callback may be called
    /// before the function returns.
    void record(const StreamStart &stream, bool isForced, std::function<void(OriginRecording)> callback);

    /// Whether a stream whose record was refused may begin at an endpoint of the version.
    bool mayBeginUnrecorded(const std::string &service, const std::string &version) const;

    /// Remembers a stream that has begun without a record. It is recorded as soon as it would not be found otherwise and the metadata
    /// store allows it, until forgetUnrecorded() is called.
    void keepUnrecorded(const StreamStart &stream);
    void forgetUnrecorded(const std::string &attempt);

    /// Finds the version that began the stream whose first event the attempt brought, from its record in the metadata store. attempt:
    /// empty if the client names none; the version is then known only if one version alone has served for long.
    void find(const std::string &service, const std::string &attempt, const std::string &workspace, std::function<void(StreamOrigin)> callback);

    /// The base version, if a stream may begin there without a record.
    std::optional<std::string> servingBase(const std::string &service) const;

    /// Span of the lease of the records; also the longest one that the store allows.
    static constexpr Milliseconds LeaseSpan{600000};
    /// A lease is used for new records for this long.
    static constexpr Milliseconds LeaseUse{300000};
    /// Age up to which the list of endpoints counts as current. A watch without changes verifies it every 5 s.
    static constexpr Milliseconds MaxListAge{6000};
    /// Maximum number of records in one transaction; the store accepts 32 entries.
    static constexpr std::size_t MaxRecordsPerCommit = 30;

private:
    /// The time at which the versions in the list of endpoints count as registered: now, or the epoch if the list is old. A process that
    /// was paused or cut off holds an old list, which the time that has passed does not settle.
    Timestamp settledAt() const;
    /// Whether the list of endpoints was verified within ServiceVersions::MaxUnverifiedTime.
    bool isListRecent() const;
    void updateBase(const std::string &service);
    void recordLate();
    void readBase(const std::string &service);
    void writeBase(const std::string &service, const StreamBase &base);
    void withLease(std::function<void(std::uint64_t lease)> step);
    /// Stores records; change holds nothing else.
    void commitRecords(const MetadataChange &change, std::function<void(OriginRecording)> callback);
    void findRecord(const std::string &service, const std::string &attempt, const std::string &workspace, std::function<void(StreamOrigin)> callback);
    void findBase(const std::string &service, std::function<void(StreamOrigin)> callback);

    struct Service {
        ServiceVersions versions;
        /// Revision of the base version in the metadata store; zero: there is none.
        std::uint64_t baseRevision = 0;
        bool isReading = false;
        bool isWriting = false;
    };

    MetadataStore &m_store;
    EventLoop m_loop;
    EventLog &m_log;
    SystemView &m_view;
    std::map<std::string, Service> m_services;
    /// Running streams without a record, by attempt.
    std::map<std::string, StreamStart> m_unrecorded;
    bool m_isRecordingLate = false;
    std::uint64_t m_lease = 0;
    Timestamp m_leaseCreatedAt;
};

}
