#pragma once

#include "base/timestamp.h"
#include "catalog/endpointrecord.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Basilbend
{

/// The base version of a service as the metadata store holds it.
struct StreamBase {
    std::string version;
    /// Set before a stream of another version may begin without a record: a stream without one is then of an unknown version.
    bool isClosed = false;
};

inline bool operator==(const StreamBase &a, const StreamBase &b)
{
    return a.version == b.version && a.isClosed == b.isClosed;
}

/// Software versions of the endpoints of a service.
struct SoftwareVersions {
    /// Those of all registered endpoints.
    std::set<std::string> registered;
    /// Those of endpoints that may begin streams.
    std::set<std::string> serving;
};

inline bool operator==(const SoftwareVersions &a, const SoftwareVersions &b)
{
    return a.registered == b.registered && a.serving == b.serving;
}

/// An open base is encoded as its version alone, as by releases that know no closed one. These take the text of a closed base for a
/// version that nobody serves, so they record all streams and take up none without a record.
std::string encodeStreamBase(const StreamBase &base);
StreamBase decodeStreamBase(const std::string &text);

/// Software versions of one service and the version to which streams without a record belong.
///
/// What two versions write does not fit together, so a stream resumes only at the version that began it. Most of the time one version
/// serves, and nothing is written: a stream without a record was begun by the base version. A stream that another version begins is
/// recorded before its first event can reach the client.
///
/// Once no endpoint of the base version serves, it is closed in the metadata store. From then on a stream may also begin while the store
/// refuses its record; a stream without a record is of an unknown version and is not taken up. When the longest streams that began
/// before are over, the version that serves alone becomes the new base.
class ServiceVersions
{
public:
    /// Sets the versions of the endpoints as they are now.
    void setVersions(SoftwareVersions versions, Timestamp now);

    /// Sets the base version that was read from the metadata store, if there is one.
    void setBase(std::optional<StreamBase> base);

    /// Whether the base version must be read from the metadata store: it is not known yet, or a version has registered or
    /// begun to serve since then.
    bool mustReadBase() const
    {
        return !m_isBaseCurrent;
    }

    /// Whether a stream must be recorded before an endpoint of the version begins it. isListRecent: the registered versions were
    /// verified within MaxUnverifiedTime.
    bool mustRecord(const std::string &version, bool isListRecent) const;

    /// Whether a stream may begin at the version although its record was refused.
    bool mayBeginUnrecorded(const std::string &version, bool isListRecent) const;

    /// Whether a stream that has begun at the version without a record would not be found there again.
    bool needsLateRecord(const std::string &version) const;

    /// Whether the base version has not served for so long that it must be closed now.
    bool mustCloseBase(Timestamp now) const;

    /// The version that should become the base now; nothing if the base should stay.
    std::optional<std::string> nextBase(Timestamp now) const;

    /// The only version that may have begun a stream that still lasts, as far as this process knows.
    std::optional<std::string> soleVersion(Timestamp now) const;

    /// The base version, if it is open and endpoints of it serve.
    std::optional<std::string> servingBase(bool isListRecent) const;

    const std::optional<StreamBase> &base() const
    {
        return m_base;
    }

    const SoftwareVersions &versions() const
    {
        return m_versions;
    }

    /// Upper limit of the time from the beginning of a stream to its end, with all take-ups by its client.
    static constexpr Milliseconds MaxStreamAge{60000};
    /// Time for which a process that is cut off from the metadata store begins streams by what it knows.
    static constexpr Milliseconds MaxUnverifiedTime{60000};
    /// Time after which no stream lasts that another version than the only registered one has begun, at any process.
    static constexpr Milliseconds SettleTime = MaxStreamAge + MaxUnverifiedTime;
    /// Time for which the base version must not serve before it is closed. The entries of endpoints that lapsed during an outage of the
    /// store are back within two seconds.
    static constexpr Milliseconds CloseDelay{3000};

private:
    bool isOpenBase(const std::string &version) const
    {
        return m_base && !m_base->isClosed && m_base->version == version;
    }

    SoftwareVersions m_versions;
    /// Since when the registered and the serving versions are as they are.
    Timestamp m_registeredSince;
    Timestamp m_servingSince;
    std::optional<StreamBase> m_base;
    bool m_isBaseCurrent = false;
};

/// Returns the endpoints that run the software version.
std::vector<const EndpointRecord *> endpointsOfVersion(const std::vector<const EndpointRecord *> &endpoints, const std::string &version);

}
