#pragma once

#include "base/eventloop.h"
#include "catalog/dataresidency.h"
#include "catalog/endpointregistry.h"
#include "catalog/routetable.h"
#include "log/eventlog.h"
#include "metadata/publishedfeed.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Basilbend
{

/// The data that a SystemView keeps up to date.
enum class ViewScope {
    /// The configuration, the evacuated zones and the endpoints.
    Serving,
    /// Also the published weight versions and the hosts to be emptied.
    Control,
};

/// Maximum wait of one watch of each prefix.
struct ViewWatchSpans {
    Milliseconds operatorKeys;
    Milliseconds endpoints;
};

/// Local view of the operators' configuration, the evacuated zones, the published weight versions, the hosts to be emptied
/// and the endpoints, each kept up to date from the metadata store.
class SystemView
{
public:
    SystemView(MetadataStore &store, EventLoop loop, EventLog &log, ViewScope scope, ViewWatchSpans spans);

    void start();
    void stop();

    /// Sets the pause after a change of endpoints, during which further changes accumulate before the store is asked again.
    void setEndpointCoalescingDelay(Milliseconds span)
    {
        m_endpointFeed.feed().setCoalescingDelay(span);
    }

    /// Serves the feeds of this view to other processes and lets this view follow the feeds of peers. Must be called before
    /// start().
    void shareFeeds(FeedHub &hub, const std::function<std::unique_ptr<FeedFollower>()> &makeFollower);

    /// Returns the routes, or null before the first configuration has been read.
    const RouteTable *routes() const
    {
        return m_routes.get();
    }

    const EndpointRegistry &endpoints() const
    {
        return m_endpoints;
    }

    /// Sets the region of each availability zone, for routes and workspaces that are restricted to regions.
    void setRegions(std::map<std::string, std::string> regionOfZone)
    {
        m_residency = DataResidency(std::move(regionOfZone));
    }

    const DataResidency &residency() const
    {
        return m_residency;
    }

    /// Returns the endpoints of the service that may receive requests of the route and the workspace.
    std::vector<const EndpointRecord *> usableEndpoints(const std::string &service, const RouteRule &route, const std::string &workspace) const;

    /// Returns the published version of a model, or zero if there is none.
    std::uint64_t publishedVersion(const std::string &model) const;

    const std::map<std::string, std::uint64_t> &publishedVersions() const
    {
        return m_publishedVersions;
    }

    /// The hosts that the operator wants to be emptied, by name, with the revision of the request.
    const std::map<std::string, std::uint64_t> &hostsToEmpty() const
    {
        return m_hostsToEmpty;
    }

    /// The time at which everything that the operator writes was last verified to be current: the configuration, the evacuated
    /// zones and the published versions. Nothing before the first listing.
    std::optional<Timestamp> configurationVerifiedAt() const
    {
        return m_operatorFeed.feed().verifiedAt();
    }

    /// The time at which the registered endpoints were last verified to be current. Nothing before the first listing.
    std::optional<Timestamp> endpointsVerifiedAt() const
    {
        return m_endpointFeed.feed().verifiedAt();
    }

    /// Records that a response of the endpoint announced that it is about to leave. startedAtMs identifies the start of the
    /// endpoint that sent the response.
    void markEndpointLeaving(const std::string &id, std::int64_t startedAtMs);

    /// Removes endpoints that did not register again in time after an outage of the store. Must be called periodically.
    void removeExpiredEndpoints();

    std::function<void()> onConfigurationChanged;
    std::function<void()> onEndpointsChanged;
    /// Called when an endpoint was removed, so that its connections can be closed.
    std::function<void(const EndpointRecord &)> onEndpointGone;
    std::function<void()> onVersionPublished;
    std::function<void()> onHostsToEmptyChanged;

private:
    PrefixFeedHooks operatorHooks();
    PrefixFeedHooks endpointHooks();
    void applyOperatorItem(const MetadataItem &item);
    void applyConfiguration(const MetadataItem &item);
    void applyPublishedVersion(const MetadataItem &item);
    void applyHostToEmpty(const MetadataItem &item);
    /// Replaces the hosts to be emptied by those of a full listing, at once: a choice between hosts must not see a part of them.
    void replaceHostsToEmpty(const std::vector<MetadataItem> &items);
    void setHostsToEmpty(std::map<std::string, std::uint64_t> hosts);
    void applyEvacuation(const MetadataItem &item);
    /// Replaces the evacuated zones by those of a full listing.
    void replaceEvacuations(const std::vector<MetadataItem> &items);
    void setEvacuatedZones(std::set<std::string> zones);
    void applyEndpoint(const MetadataItem &item);
    void dropEndpoint(const std::string &id);

    EventLoop m_loop;
    EventLog &m_log;
    std::unique_ptr<RouteTable> m_routes;
    EndpointRegistry m_endpoints;
    DataResidency m_residency;
    std::map<std::string, std::uint64_t> m_publishedVersions;
    std::map<std::string, std::uint64_t> m_hostsToEmpty;
    ViewScope m_scope;
    PublishedFeed m_operatorFeed;
    PublishedFeed m_endpointFeed;
};

}
