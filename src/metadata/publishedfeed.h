#pragma once

#include "metadata/feedhub.h"
#include "metadata/prefixfeed.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// A feed whose changes other processes may follow through a hub.
class PublishedFeed
{
public:
    /// See PrefixFeed.
    PublishedFeed(MetadataStore &store, const EventLoop &loop, const std::string &prefix, Milliseconds span, PrefixFeedHooks hooks);

    /// Serves the feed to other processes and lets it follow theirs. Must be called before the feed is started.
    void share(FeedHub &hub, std::unique_ptr<FeedFollower> follower);

    PrefixFeed &feed()
    {
        return m_feed;
    }

    const PrefixFeed &feed() const
    {
        return m_feed;
    }

private:
    /// Extends the hooks so that changes also reach the hub.
    PrefixFeedHooks publishingHooks(PrefixFeedHooks hooks);

    std::string m_prefix;
    FeedHub *m_hub = nullptr;
    PrefixFeed m_feed;
};

}
