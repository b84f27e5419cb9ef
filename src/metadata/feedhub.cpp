#include "metadata/feedhub.h"

#include <algorithm>
#include <charconv>

namespace Basilbend
{

namespace
{

/// Time after the last request or disconnection of a node at which it no longer counts as a recent requester.
constexpr Milliseconds RequesterExpiry{12000};
/// Maximum age of a copy that is served to followers.
constexpr Milliseconds MaxServedAge{800};
/// A follower with more unsent bytes is disconnected.
constexpr std::size_t MaxPendingBytes = 256 * 1024;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

}

FeedHub::FeedHub(EventLoop loop, EventLog &log)
    : m_loop(std::move(loop))
    , m_log(log)
{
}

void FeedHub::add(const std::string &prefix, PrefixFeed &feed)
{
    m_feeds[prefix].source = &feed;
}

void FeedHub::recordSnapshot(const std::string &prefix)
{
    auto &feed = m_feeds.at(prefix);
    feed.recentChanges.clear();
    // Later pages of the listing may contain changes that are newer than the revision of the feed. These are not reported
    // again.
    feed.historyStart = feed.source->newestReportedRevision();
    for (const auto &follower : feed.followers) {
        follower.exchange->abort();
    }
    feed.followers.clear();
}

void FeedHub::recordChange(const std::string &prefix, const MetadataItem &item)
{
    auto &feed = m_feeds.at(prefix);
    feed.recentChanges.push_back({item, item.value.size() > MaxValueBytes});
    if (feed.recentChanges.back().isValueOmitted) {
        feed.recentChanges.back().item.value = {};
    }
    if (feed.recentChanges.size() > MaxRecentChanges) {
        feed.historyStart = std::max(feed.historyStart, feed.recentChanges.front().item.revision);
        feed.recentChanges.pop_front();
    }
}

void FeedHub::publishUpdates(const std::string &prefix)
{
    auto &feed = m_feeds.at(prefix);
    removeClosedFollowers(feed);
    for (auto &follower : feed.followers) {
        send(feed, follower);
    }
}

void FeedHub::removeClosedFollowers(Feed &feed)
{
    const auto now = m_loop.now();
    for (auto it = feed.recentRequesters.begin(); it != feed.recentRequesters.end();) {
        it = now - it->second > RequesterExpiry ? feed.recentRequesters.erase(it) : std::next(it);
    }
    for (auto it = feed.followers.begin(); it != feed.followers.end();) {
        if (it->exchange->isOpen()) {
            ++it;
            continue;
        }
        // A disconnected follower counts as a recent requester, because it may reconnect soon, after it has read a large
        // value from the store.
        feed.recentRequesters[it->node] = now;
        it = feed.followers.erase(it);
    }
    feed.source->setServing(!feed.followers.empty() || feed.recentRequesters.size() >= MinFollowers);
}

bool FeedHub::canServe(Feed &feed, const std::string &node)
{
    const auto now = m_loop.now();
    feed.recentRequesters[node] = now;
    removeClosedFollowers(feed);
    const auto stateVerifiedAt = feed.source->verifiedAt();
    const bool hasEnoughFollowers = feed.recentRequesters.size() + feed.followers.size() >= MinFollowers;
    return hasEnoughFollowers && feed.source->isWatchingStore() && feed.source->isReachable() && stateVerifiedAt && now - *stateVerifiedAt <= MaxServedAge;
}

void FeedHub::serve(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto &fields = exchange->request().fields;
    const auto it = m_feeds.find(std::string(fields.value(PrefixField)));
    if (it == m_feeds.end()) {
        exchange->respond({404, {}, {}});
        return;
    }
    auto &feed = it->second;
    const std::string node(fields.value(NodeField));
    const auto after = parseNumber(fields.value(AfterField));
    if (!canServe(feed, node)) {
        exchange->respond({503, {}, {}});
        return;
    }
    if (after < feed.historyStart) {
        exchange->respond({410, {}, {}});
        return;
    }
    m_log.info("follower_joined", {{"follower", node}, {"prefix", it->first}, {"after", after}, {"followers", feed.followers.size() + 1}});
    exchange->beginStream({200, {{"Content-Type", "application/json"}}});
    feed.followers.push_back({exchange, node, m_loop.now(), after});
    send(feed, feed.followers.back());
}

void FeedHub::send(const Feed &feed, Follower &follower) const
{
    if (follower.exchange->pendingBytes() > MaxPendingBytes) {
        m_log.warning("follower_too_slow", {{"follower", follower.node}, {"pending", follower.exchange->pendingBytes()}});
        follower.exchange->abort();
        return;
    }
    if (follower.sentRevision < feed.historyStart) {
        m_log.warning("follower_behind", {{"follower", follower.node}, {"sent", follower.sentRevision}, {"kept_after", feed.historyStart}});
        follower.exchange->abort();
        return;
    }
    FeedUpdate update;
    update.baseRevision = follower.sentRevision;
    update.revision = feed.source->revision();
    update.confirmedRevision = feed.source->confirmedRevision();
    update.verifiedOffset = *feed.source->verifiedAt() - follower.requestedAt;
    update.isStoreReachable = feed.source->isReachable();
    for (auto it = feed.recentChanges.rbegin(); it != feed.recentChanges.rend() && it->item.revision > follower.sentRevision; ++it) {
        update.isIncomplete = update.isIncomplete || it->isValueOmitted;
        update.items.push_back(it->item);
    }
    std::reverse(update.items.begin(), update.items.end());
    if (update.isIncomplete) {
        update.items.clear();
    }
    follower.sentRevision = std::max(follower.sentRevision, update.revision);
    follower.exchange->sendChunk(encodeFeedUpdate(update) + "\n");
}

std::size_t FeedHub::followerCount() const
{
    std::size_t n = 0;
    for (const auto &[prefix, feed] : m_feeds) {
        n += feed.followers.size();
    }
    return n;
}

}
