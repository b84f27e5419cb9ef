#include "catalog/systemview.h"

#include "platform/configurationcodec.h"
#include "platform/operatorkeys.h"

#include <algorithm>

namespace Basilbend
{

SystemView::SystemView(MetadataStore &store, EventLoop loop, EventLog &log, ViewScope scope, ViewWatchSpans spans)
    : m_loop(std::move(loop))
    , m_log(log)
    , m_scope(scope)
    , m_operatorFeed(store, m_loop, operatorPrefix(), spans.operatorKeys, operatorHooks())
    , m_endpointFeed(store, m_loop, endpointPrefix(), spans.endpoints, endpointHooks())
{
}

void SystemView::shareFeeds(FeedHub &hub, const std::function<std::unique_ptr<FeedFollower>()> &makeFollower)
{
    m_operatorFeed.share(hub, makeFollower());
    m_endpointFeed.share(hub, makeFollower());
}

void SystemView::start()
{
    m_operatorFeed.feed().start();
    m_endpointFeed.feed().start();
}

void SystemView::stop()
{
    m_operatorFeed.feed().stop();
    m_endpointFeed.feed().stop();
}

std::uint64_t SystemView::publishedVersion(const std::string &model) const
{
    const auto it = m_publishedVersions.find(model);
    return it == m_publishedVersions.end() ? 0 : it->second;
}

std::vector<const EndpointRecord *> SystemView::usableEndpoints(const std::string &service, const RouteRule &route, const std::string &workspace) const
{
    auto usable = m_endpoints.readyEndpoints(service);
    const auto *restrictions = m_routes ? m_routes->workspaceNamed(workspace) : nullptr;
    const auto isElsewhere = [&](const EndpointRecord *endpoint) { return !m_residency.allows(route, restrictions, endpoint->zone); };
    usable.erase(std::remove_if(usable.begin(), usable.end(), isElsewhere), usable.end());
    return usable;
}

PrefixFeedHooks SystemView::operatorHooks()
{
    return {[this](const std::vector<MetadataItem> &items) {
                // Evacuations first: the first configuration allows requests to be sent.
                replaceEvacuations(items);
                replaceHostsToEmpty(items);
                for (const auto &item : items) {
                    applyOperatorItem(item);
                }
            },
            [this](const MetadataItem &item) { applyOperatorItem(item); },
            [this](bool reachable) {
                m_log.warning(reachable ? "store_regained" : "store_lost", {{"feed", "operator"}, {"version", m_routes ? m_routes->version() : 0}});
            },
            nullptr,
            [this](Milliseconds waited) {
                m_log.warning("watch_lost", {{"feed", "operator"}, {"waited_ms", waited}});
            },
            [this](std::size_t missed) {
                m_log.warning("watch_gap_closed", {{"feed", "operator"}, {"missed", missed}});
            }};
}

PrefixFeedHooks SystemView::endpointHooks()
{
    return {[this](const std::vector<MetadataItem> &items) {
                std::vector<EndpointRecord> records;
                for (const auto &item : items) {
                    auto record = decodeEndpointRecord(item.key, item.value);
                    if (record) {
                        records.push_back(std::move(record.value()));
                    } else {
                        m_log.warning("endpoint_unreadable", {{"key", item.key}, {"reason", record.error().message}});
                    }
                }
                m_endpoints.replaceAll(records, m_loop.now());
                m_log.info("endpoints_listed", {{"count", records.size()}});
                if (onEndpointsChanged) {
                    onEndpointsChanged();
                }
            },
            [this](const MetadataItem &item) { applyEndpoint(item); },
            [this](bool reachable) {
                m_endpoints.setStoreReachable(reachable, m_loop.now());
                m_log.warning(reachable ? "store_regained" : "store_lost", {{"feed", "endpoints"}, {"endpoints", m_endpoints.size()}});
            },
            nullptr,
            [this](Milliseconds waited) {
                m_log.warning("watch_lost", {{"feed", "endpoints"}, {"waited_ms", waited}});
            },
            [this](std::size_t missed) {
                m_log.warning("watch_gap_closed", {{"feed", "endpoints"}, {"missed", missed}});
            }};
}

void SystemView::applyOperatorItem(const MetadataItem &item)
{
    switch (operatorKeyKind(item.key)) {
    case OperatorKeyKind::Configuration:
        applyConfiguration(item);
        break;
    case OperatorKeyKind::PublishedVersion:
        if (m_scope == ViewScope::Control) {
            applyPublishedVersion(item);
        }
        break;
    case OperatorKeyKind::RetiringHost:
        if (m_scope == ViewScope::Control) {
            applyHostToEmpty(item);
        }
        break;
    case OperatorKeyKind::ZoneEvacuation:
        applyEvacuation(item);
        break;
    case OperatorKeyKind::Other:
        break;
    }
}

void SystemView::applyConfiguration(const MetadataItem &item)
{
    if (item.isRemoval) {
        m_log.warning("configuration_removed", {{"revision", item.revision}});
        return;
    }
    auto configuration = decodeConfiguration(item.value);
    if (!configuration) {
        m_log.warning("configuration_unreadable", {{"revision", item.revision}, {"reason", configuration.error().message}});
        return;
    }
    const auto version = configuration.value().version;
    if (m_routes && version <= m_routes->version()) {
        return;
    }
    m_routes = std::make_unique<RouteTable>(std::move(configuration.value()));
    const auto &advance = m_operatorFeed.feed().lastAdvance();
    m_log.info("configuration_in_force",
               {{"version", version},
                {"revision", item.revision},
                {"routes", m_routes->configuration().routes.size()},
                {"source", feedSourceName(advance.source)},
                {"max_delay_ms", advance.maxDelay.value_or(Milliseconds(-1))}});
    if (onConfigurationChanged) {
        onConfigurationChanged();
    }
}

void SystemView::applyPublishedVersion(const MetadataItem &item)
{
    if (item.isRemoval) {
        return;
    }
    const auto published = decodePublishedVersion(item.value);
    if (!published) {
        m_log.warning("published_version_unreadable", {{"key", item.key}, {"reason", published.error().message}});
        return;
    }
    auto &version = m_publishedVersions[published.value().model];
    if (published.value().version <= version) {
        return;
    }
    version = published.value().version;
    m_log.info("version_published", {{"model", published.value().model}, {"version", version}});
    if (onVersionPublished) {
        onVersionPublished();
    }
}

void SystemView::applyHostToEmpty(const MetadataItem &item)
{
    auto hosts = m_hostsToEmpty;
    const auto host = hostOfRetireKey(item.key);
    if (item.isRemoval) {
        hosts.erase(host);
    } else {
        hosts[host] = item.revision;
    }
    setHostsToEmpty(std::move(hosts));
}

void SystemView::replaceHostsToEmpty(const std::vector<MetadataItem> &items)
{
    std::map<std::string, std::uint64_t> hosts;
    for (const auto &item : items) {
        if (operatorKeyKind(item.key) == OperatorKeyKind::RetiringHost && m_scope == ViewScope::Control) {
            hosts[hostOfRetireKey(item.key)] = item.revision;
        }
    }
    setHostsToEmpty(std::move(hosts));
}

void SystemView::setHostsToEmpty(std::map<std::string, std::uint64_t> hosts)
{
    if (hosts == m_hostsToEmpty) {
        return;
    }
    for (const auto &[host, revision] : hosts) {
        const auto it = m_hostsToEmpty.find(host);
        if (it == m_hostsToEmpty.end() || it->second != revision) {
            m_log.info("host_to_empty", {{"host", host}, {"revision", revision}});
        }
    }
    m_hostsToEmpty = std::move(hosts);
    if (onHostsToEmptyChanged) {
        onHostsToEmptyChanged();
    }
}

void SystemView::applyEvacuation(const MetadataItem &item)
{
    auto zones = m_endpoints.evacuatedZones();
    const auto zone = zoneOfEvacuationKey(item.key);
    if (item.isRemoval) {
        zones.erase(zone);
    } else {
        zones.insert(zone);
    }
    setEvacuatedZones(std::move(zones));
}

void SystemView::replaceEvacuations(const std::vector<MetadataItem> &items)
{
    std::set<std::string> zones;
    for (const auto &item : items) {
        if (operatorKeyKind(item.key) == OperatorKeyKind::ZoneEvacuation) {
            zones.insert(zoneOfEvacuationKey(item.key));
        }
    }
    setEvacuatedZones(std::move(zones));
}

void SystemView::setEvacuatedZones(std::set<std::string> zones)
{
    const auto previous = m_endpoints.evacuatedZones();
    if (zones == previous) {
        return;
    }
    m_endpoints.setEvacuatedZones(std::move(zones));
    for (const auto &zone : m_endpoints.evacuatedZones()) {
        if (previous.count(zone) == 0) {
            m_log.warning("zone_evacuated", {{"zone", zone}, {"evacuated_zones", m_endpoints.evacuatedZones().size()}});
        }
    }
    for (const auto &zone : previous) {
        if (m_endpoints.evacuatedZones().count(zone) == 0) {
            m_log.warning("zone_evacuation_ended", {{"zone", zone}, {"evacuated_zones", m_endpoints.evacuatedZones().size()}});
        }
    }
    if (onEndpointsChanged) {
        onEndpointsChanged();
    }
}

void SystemView::applyEndpoint(const MetadataItem &item)
{
    const auto id = endpointIdOfKey(item.key);
    if (item.isRemoval) {
        m_log.info("endpoint_removed", {{"endpoint", id}, {"revision", item.revision}});
        dropEndpoint(id);
        return;
    }
    auto record = decodeEndpointRecord(item.key, item.value);
    if (!record) {
        m_log.warning("endpoint_unreadable", {{"key", item.key}, {"reason", record.error().message}});
        dropEndpoint(id);
        return;
    }
    const auto *known = m_endpoints.find(id);
    if (known == nullptr || known->isDraining != record.value().isDraining) {
        m_log.info(record.value().isDraining ? "endpoint_draining" : "endpoint_seen",
                   {{"endpoint", id}, {"service", record.value().service}, {"address", record.value().address}, {"revision", item.revision}});
    }
    m_endpoints.put(record.value());
    if (onEndpointsChanged) {
        onEndpointsChanged();
    }
}

void SystemView::dropEndpoint(const std::string &id)
{
    const auto *known = m_endpoints.find(id);
    if (known == nullptr) {
        return;
    }
    const auto record = *known;
    m_endpoints.remove(id, m_loop.now());
    if (m_endpoints.find(id) == nullptr && onEndpointGone) {
        onEndpointGone(record);
    }
    if (onEndpointsChanged) {
        onEndpointsChanged();
    }
}

void SystemView::markEndpointLeaving(const std::string &id, std::int64_t startedAtMs)
{
    if (!m_endpoints.markLeaving(id, startedAtMs)) {
        return;
    }
    m_log.info("endpoint_leaving", {{"endpoint", id}, {"started_at_ms", startedAtMs}});
    if (onEndpointsChanged) {
        onEndpointsChanged();
    }
}

void SystemView::removeExpiredEndpoints()
{
    const auto expired = m_endpoints.removeExpired(m_loop.now());
    for (const auto &id : expired) {
        m_log.info("endpoint_lapsed", {{"endpoint", id}});
    }
    if (!expired.empty() && onEndpointsChanged) {
        onEndpointsChanged();
    }
}

}
