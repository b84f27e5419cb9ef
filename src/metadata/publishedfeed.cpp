#include "metadata/publishedfeed.h"

#include <utility>

namespace Basilbend
{

PublishedFeed::PublishedFeed(MetadataStore &store, const EventLoop &loop, const std::string &prefix, Milliseconds span, PrefixFeedHooks hooks)
    : m_prefix(prefix)
    , m_feed(store, loop, prefix, span, publishingHooks(std::move(hooks)))
{
}

void PublishedFeed::share(FeedHub &hub, std::unique_ptr<FeedFollower> follower)
{
    m_hub = &hub;
    hub.add(m_prefix, m_feed);
    m_feed.setFollower(std::move(follower));
}

PrefixFeedHooks PublishedFeed::publishingHooks(PrefixFeedHooks hooks)
{
    PrefixFeedHooks wrapped;
    wrapped.onSnapshot = [this, onSnapshot = std::move(hooks.onSnapshot)](const std::vector<MetadataItem> &items) {
        onSnapshot(items);
        if (m_hub != nullptr) {
            m_hub->recordSnapshot(m_prefix);
        }
    };
    wrapped.onChange = [this, onChange = std::move(hooks.onChange)](const MetadataItem &item) {
        onChange(item);
        if (m_hub != nullptr) {
            m_hub->recordChange(m_prefix, item);
        }
    };
    wrapped.onReachabilityChanged = std::move(hooks.onReachabilityChanged);
    wrapped.onWatchLost = std::move(hooks.onWatchLost);
    wrapped.onGapClosed = [this, onGapClosed = std::move(hooks.onGapClosed)](std::size_t missed) {
        if (onGapClosed) {
            onGapClosed(missed);
        }
        // Followers were told newer changes already. They are disconnected, and read from the store what they miss.
        if (m_hub != nullptr) {
            m_hub->recordSnapshot(m_prefix);
        }
    };
    wrapped.onAdvanced = [this] {
        if (m_hub != nullptr) {
            m_hub->publishUpdates(m_prefix);
        }
    };
    return wrapped;
}

}
