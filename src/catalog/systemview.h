#pragma once

#include "base/eventloop.h"
#include "catalog/endpointregistry.h"
#include "catalog/routetable.h"
#include "log/eventlog.h"
#include "metadata/feedhub.h"
#include "metadata/prefixfeed.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

/// What a SystemView keeps up to date.
enum class ViewScope {
    /// The configuration and the endpoints.
    Serving,
    /// Also published weight versions and hosts that are to be emptied.
    Control,
};

/// What this process knows of the operators' configuration, the published weight versions, the hosts that are to be
/// emptied and the endpoints, each kept up to date from the metadata store.
class SystemView
{
public:
    /// Operator span and endpoint span: how long one watch of each prefix waits.
    SystemView(MetadataStore &store, EventLoop loop, EventLog &log, ViewScope scope, Milliseconds operatorSpan, Milliseconds endpointSpan);

    void start();
    void stop();

    /// How long changes of endpoints are gathered before the store is asked again.
    void setEndpointCoalescingDelay(Milliseconds span)
    {
        m_endpointFeed.setCoalescingDelay(span);
    }

    /// Lets other processes follow this view's feeds, and this view follow the feeds of others. To be called before start().
    void share(FeedHub &hub, const std::function<std::unique_ptr<FeedFollower>()> &makeFollower);

    /// Null before the first configuration.
    const RouteTable *routes() const
    {
        return m_routes.get();
    }

    const EndpointRegistry &endpoints() const
    {
        return m_endpoints;
    }

    /// Zero when no version of the model has been published.
    std::uint64_t publishedVersion(const std::string &model) const;

    const std::map<std::string, std::uint64_t> &publishedVersions() const
    {
        return m_publishedVersions;
    }

    /// Hosts that the operator wants emptied, by name.
    const std::map<std::string, std::uint64_t> &hostsToEmpty() const
    {
        return m_hostsToEmpty;
    }

    /// The configuration and the published versions were current at this time; nothing: not known yet.
    std::optional<Timestamp> configurationVerifiedAt() const
    {
        return m_operatorFeed.verifiedAt();
    }

    /// An answer of the endpoint says that it is about to leave; startedAtMs: the start of it that was asked.
    void markEndpointLeaving(const std::string &id, std::int64_t startedAtMs);

    /// To be called from time to time: drops endpoints whose time to register again is over.
    void expireEndpoints();

    std::function<void()> onConfigurationChanged;
    std::function<void()> onEndpointsChanged;
    /// An endpoint is gone; its connections can be closed.
    std::function<void(const EndpointRecord &)> onEndpointGone;
    std::function<void()> onVersionPublished;
    std::function<void()> onHostsToEmptyChanged;

private:
    PrefixFeedHooks operatorHooks();
    PrefixFeedHooks endpointHooks();
    /// Adds the notes of a hub to the hooks of a feed.
    PrefixFeedHooks publishingHooks(const std::string &prefix, PrefixFeedHooks hooks);
    void applyOperatorItem(const MetadataItem &item);
    void applyConfiguration(const MetadataItem &item);
    void applyVersion(const MetadataItem &item);
    void applyHostToEmpty(const MetadataItem &item);
    void applyEndpoint(const MetadataItem &item);
    void dropEndpoint(const std::string &id);

    EventLoop m_loop;
    EventLog &m_log;
    std::unique_ptr<RouteTable> m_routes;
    EndpointRegistry m_endpoints;
    std::map<std::string, std::uint64_t> m_publishedVersions;
    std::map<std::string, std::uint64_t> m_hostsToEmpty;
    FeedHub *m_hub = nullptr;
    std::string m_operatorPrefix;
    PrefixFeed m_operatorFeed;
    PrefixFeed m_endpointFeed;
};

}
