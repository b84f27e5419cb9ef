#include "metadata/fakemetadatastore.h"

#include "metadata/watchtiming.h"

#include <algorithm>
#include <memory>

namespace Basilbend
{

FakeMetadataStore::FakeMetadataStore(VirtualTime &time)
    : m_time(time)
{
}

void FakeMetadataStore::answer(Callback callback, MetadataReply reply)
{
    m_time.schedule(latency, [callback = std::move(callback), reply = std::move(reply)] { callback(reply); });
}

bool FakeMetadataStore::answerWithFault(const Callback &callback)
{
    ++calls;
    dropExpiredLeases();
    MetadataReply reply;
    if (faults.refuses) {
        reply.status = MetadataStatus::Refused;
        answer(callback, reply);
        return true;
    }
    if (faults.doesNotAnswer) {
        m_time.schedule(SilenceTime, [callback] { callback({}); });
        return true;
    }
    return false;
}

void FakeMetadataStore::dropExpiredLeases()
{
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (m_time.now() < it->second.first) {
            ++it;
            continue;
        }
        const auto lease = it->first;
        it = m_leases.erase(it);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            erase(key);
        }
    }
}

void FakeMetadataStore::change(MetadataItem item)
{
    item.revision = m_revision;
    if (item.isRemoval) {
        m_items.erase(item.key);
    } else {
        const auto it = m_items.find(item.key);
        item.createdRevision = it == m_items.end() ? m_revision : it->second.createdRevision;
        m_items[item.key] = item;
    }
    m_history.push_back(item);
}

bool FakeMetadataStore::isDown() const
{
    return faults.refuses || faults.doesNotAnswer;
}

void FakeMetadataStore::notifyWatchers()
{
    if (isDown()) {
        for (const auto &watcher : m_watchers) {
            watcher->wasInterrupted = true;
        }
        return;
    }
    if (faults.watchesMissChanges) {
        for (const auto &watcher : m_watchers) {
            watcher->after = m_revision;
        }
        return;
    }
    m_watchers.erase(std::remove_if(m_watchers.begin(), m_watchers.end(), [](const auto &watcher) { return !watcher->isOpen; }), m_watchers.end());
    const auto watchers = m_watchers;
    for (const auto &watcher : watchers) {
        auto reply = eventsAfter(watcher->prefix, watcher->after);
        if (watcher->isOpen && !reply.items.empty()) {
            watcher->isOpen = false;
            answer(watcher->callback, std::move(reply));
        }
    }
}

void FakeMetadataStore::endWatch(const std::shared_ptr<Watcher> &watcher)
{
    dropExpiredLeases();
    if (!watcher->isOpen) {
        return;
    }
    watcher->isOpen = false;
    MetadataReply reply;
    if (!isDown() && !watcher->wasInterrupted) {
        reply.status = MetadataStatus::Done;
        reply.revision = m_revision;
    }
    answer(watcher->callback, reply);
}

void FakeMetadataStore::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    MetadataItem item;
    item.key = key;
    item.value = value;
    change(item);
    notifyWatchers();
}

void FakeMetadataStore::erase(const std::string &key)
{
    ++m_revision;
    MetadataItem item;
    item.key = key;
    item.isRemoval = true;
    change(item);
    notifyWatchers();
}

const MetadataItem *FakeMetadataStore::peek(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

std::vector<std::string> FakeMetadataStore::keysBelow(const std::string &prefix) const
{
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            keys.push_back(key);
        }
    }
    return keys;
}

MetadataReply FakeMetadataStore::eventsAfter(const std::string &prefix, std::uint64_t revision) const
{
    MetadataReply reply;
    reply.status = MetadataStatus::Done;
    reply.revision = m_revision;
    for (const auto &item : m_history) {
        if (item.revision > revision && item.key.compare(0, prefix.size(), prefix) == 0) {
            reply.items.push_back(item);
        }
    }
    return reply;
}

void FakeMetadataStore::get(const std::string &key, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    MetadataReply reply;
    reply.revision = m_revision;
    const auto *item = peek(key);
    reply.status = item == nullptr ? MetadataStatus::NotFound : MetadataStatus::Done;
    if (item != nullptr) {
        reply.items.push_back(*item);
    }
    answer(std::move(callback), std::move(reply));
}

void FakeMetadataStore::list(const std::string &prefix, const std::string &afterKey, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    MetadataReply reply;
    reply.status = MetadataStatus::Done;
    reply.revision = m_revision;
    for (const auto &key : keysBelow(prefix)) {
        if (key <= afterKey) {
            continue;
        }
        if (reply.items.size() == pageItems) {
            reply.hasMore = true;
            break;
        }
        reply.items.push_back(m_items.at(key));
    }
    answer(std::move(callback), std::move(reply));
}

void FakeMetadataStore::watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    if (afterRevision < faults.compactedRevision) {
        MetadataReply gone;
        gone.status = MetadataStatus::HistoryGone;
        answer(std::move(callback), gone);
        return;
    }
    auto reply = eventsAfter(prefix, afterRevision);
    if (!reply.items.empty() && !faults.watchesMissChanges) {
        answer(std::move(callback), std::move(reply));
        return;
    }
    if (faults.waitingWatchesAreLost || faults.lostWaitingWatches > 0) {
        faults.lostWaitingWatches = std::max(0, faults.lostWaitingWatches - 1);
        m_time.schedule(WatchTiming::timeoutFor(span), [callback = std::move(callback)] { callback({}); });
        return;
    }
    auto watcher = std::make_shared<Watcher>(Watcher{prefix, afterRevision, std::move(callback), true, false});
    m_watchers.push_back(watcher);
    m_time.schedule(span, [this, watcher] { endWatch(watcher); });
}

MetadataReply FakeMetadataStore::execute(const MetadataChange &change)
{
    MetadataReply reply;
    bool holds = true;
    for (const auto &precondition : change.preconditions) {
        const auto *item = peek(precondition.key);
        holds = holds && (item == nullptr ? 0 : item->revision) == precondition.revision;
        reply.items.push_back(item == nullptr ? MetadataItem{precondition.key, {}, 0, 0, 0, false} : *item);
    }
    if (!holds) {
        reply.status = MetadataStatus::Conflict;
        return reply;
    }
    ++m_revision;
    for (const auto &write : change.writes) {
        MetadataItem item;
        item.key = write.key;
        item.value = write.value;
        item.lease = write.lease;
        this->change(item);
    }
    for (const auto &key : change.removals) {
        MetadataItem item;
        item.key = key;
        item.isRemoval = true;
        this->change(item);
    }
    reply.items.clear();
    reply.status = MetadataStatus::Done;
    reply.revision = m_revision;
    notifyWatchers();
    return reply;
}

void FakeMetadataStore::commit(const MetadataChange &change, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    auto reply = execute(change);
    if (faults.lostCommits > 0 && reply.status == MetadataStatus::Done) {
        --faults.lostCommits;
        reply = {};
    }
    answer(std::move(callback), std::move(reply));
}

void FakeMetadataStore::createLease(Milliseconds span, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    MetadataReply reply;
    reply.status = MetadataStatus::Done;
    reply.lease = ++m_lastLease;
    reply.leaseDuration = span;
    m_leases[reply.lease] = {m_time.now() + span, span};
    m_time.schedule(span + Milliseconds(1), [this] { dropExpiredLeases(); });
    answer(std::move(callback), reply);
}

void FakeMetadataStore::renewLease(std::uint64_t lease, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    MetadataReply reply;
    const auto it = m_leases.find(lease);
    reply.status = it == m_leases.end() ? MetadataStatus::NotFound : MetadataStatus::Done;
    if (it != m_leases.end()) {
        it->second.first = m_time.now() + it->second.second;
        m_time.schedule(it->second.second + Milliseconds(1), [this] { dropExpiredLeases(); });
    }
    answer(std::move(callback), reply);
}

void FakeMetadataStore::revokeLease(std::uint64_t lease, Callback callback)
{
    if (answerWithFault(callback)) {
        return;
    }
    if (const auto it = m_leases.find(lease); it != m_leases.end()) {
        it->second.first = m_time.now();
    }
    dropExpiredLeases();
    MetadataReply reply;
    reply.status = MetadataStatus::Done;
    answer(std::move(callback), reply);
}

}
