#include "forwarding/streamorigin.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace
{

using nlohmann::json;

constexpr const char *ClosedField = "closed";

bool includes(const std::set<std::string> &all, const std::set<std::string> &some)
{
    return std::includes(all.begin(), all.end(), some.begin(), some.end());
}

}

std::string encodeStreamBase(const StreamBase &base)
{
    return base.isClosed ? json{{ClosedField, base.version}}.dump(-1, ' ', false, json::error_handler_t::replace) : base.version;
}

StreamBase decodeStreamBase(const std::string &text)
{
    const auto object = json::parse(text, nullptr, false);
    const auto it = object.is_object() ? object.find(ClosedField) : object.end();
    const bool isClosed = object.is_object() && it != object.end() && it->is_string();
    return isClosed ? StreamBase{it->get<std::string>(), true} : StreamBase{text, false};
}

void ServiceVersions::setVersions(SoftwareVersions versions, Timestamp now)
{
    if (versions.registered != m_versions.registered) {
        m_registeredSince = now;
    }
    if (versions.serving != m_versions.serving) {
        m_servingSince = now;
    }
    // Versions that leave change nothing: nobody may have opened the base for another one while they were registered here. For one that
    // serves again another process may have closed the base.
    const bool isKnown = includes(m_versions.registered, versions.registered) && includes(m_versions.serving, versions.serving);
    m_isBaseCurrent = m_isBaseCurrent && isKnown;
    m_versions = std::move(versions);
}

void ServiceVersions::setBase(std::optional<StreamBase> base)
{
    m_base = std::move(base);
    m_isBaseCurrent = true;
}

bool ServiceVersions::mustRecord(const std::string &version, bool isListRecent) const
{
    return !m_isBaseCurrent || !isListRecent || !isOpenBase(version);
}

bool ServiceVersions::mayBeginUnrecorded(const std::string &version, bool isListRecent) const
{
    if (!m_base || !isListRecent) {
        return false;
    }
    return m_base->isClosed ? m_isBaseCurrent : servingBase(isListRecent) == version;
}

bool ServiceVersions::needsLateRecord(const std::string &version) const
{
    return m_isBaseCurrent && !isOpenBase(version);
}

bool ServiceVersions::mustCloseBase(Timestamp now) const
{
    const auto &serving = m_versions.serving;
    const bool hasLeft = m_base && !serving.empty() && serving.count(m_base->version) == 0;
    return m_isBaseCurrent && hasLeft && !m_base->isClosed && now - m_servingSince >= CloseDelay;
}

std::optional<std::string> ServiceVersions::nextBase(Timestamp now) const
{
    if (!m_isBaseCurrent || m_versions.registered.size() != 1 || isOpenBase(*m_versions.registered.begin())) {
        return std::nullopt;
    }
    // Without a base no stream begins without a record, so the first one can be set at any time.
    const bool isSettled = !m_base || now - m_registeredSince >= SettleTime;
    return isSettled ? std::optional(*m_versions.registered.begin()) : std::nullopt;
}

std::optional<std::string> ServiceVersions::soleVersion(Timestamp now) const
{
    const bool isSole = m_versions.registered.size() == 1 && now - m_registeredSince >= SettleTime;
    return isSole ? std::optional(*m_versions.registered.begin()) : std::nullopt;
}

std::optional<std::string> ServiceVersions::servingBase(bool isListRecent) const
{
    const bool isServing = isListRecent && m_base && isOpenBase(m_base->version) && m_versions.serving.count(m_base->version) > 0;
    return isServing ? std::optional(m_base->version) : std::nullopt;
}

std::vector<const EndpointRecord *> endpointsOfVersion(const std::vector<const EndpointRecord *> &endpoints, const std::string &version)
{
    std::vector<const EndpointRecord *> matching;
    std::copy_if(endpoints.begin(), endpoints.end(), std::back_inserter(matching), [&version](const EndpointRecord *endpoint) {
        return endpoint->softwareVersion == version;
    });
    return matching;
}

}
