#include "scheduling/batchwatch.h"

#include "batches/batchrecords.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Duration of a watch call. Confirms the state of the batches well within the time in which the end of a batch must be
/// known.
constexpr Milliseconds IndexWatchSpan{1500};

}

BatchWatch::BatchWatch(MetadataStore &store, EventLoop loop, EventLog &log, BatchAdmission admission, BatchWatchHooks hooks)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_cleaner(store, m_loop, log, m_hooks.term)
    , m_admission(std::move(admission))
{
}

void BatchWatch::start()
{
    PrefixFeedHooks hooks;
    hooks.onSnapshot = [this](const std::vector<MetadataItem> &items) { applySnapshot(items); };
    hooks.onChange = [this](const MetadataItem &item) { applyIndex(item); };
    hooks.onReachabilityChanged = [this](bool reachable) { m_log.warning(reachable ? "store_regained" : "store_lost", {{"feed", "batches"}}); };
    m_feed = std::make_unique<PrefixFeed>(m_store, m_loop, BatchRecords::IndexPrefix, IndexWatchSpan, std::move(hooks));
    m_feed->start();
}

void BatchWatch::stop()
{
    if (!m_feed) {
        return;
    }
    m_feed->stop();
    m_stoppedFeeds.push_back(std::move(m_feed));
    for (auto &[id, loader] : m_loading) {
        loader->cancel();
    }
    m_loading.clear();
    m_admission.clear();
    m_opened.clear();
    m_ended.clear();
    m_cleaner.clear();
}

void BatchWatch::poll()
{
    m_cleaner.poll();
}

void BatchWatch::applySnapshot(std::vector<MetadataItem> items)
{
    // In order of creation: the time limits of a batch count from its submission, so the oldest batches have the least time
    // left and are loaded first.
    std::sort(items.begin(), items.end(), [](const MetadataItem &a, const MetadataItem &b) { return a.createdRevision < b.createdRevision; });
    for (const auto &item : items) {
        applyIndex(item);
    }
}

void BatchWatch::applyIndex(const MetadataItem &item)
{
    if (item.isRemoval) {
        const auto id = item.key.substr(std::string_view(BatchRecords::IndexPrefix).size());
        end(id);
        m_ended.erase(id);
        m_cleaner.untrack(id);
        return;
    }
    const auto index = BatchRecords::decodeIndex(item.value);
    if (!index) {
        m_log.warning("batch_unreadable", {{"key", item.key}, {"reason", index.error().message}});
        return;
    }
    m_cleaner.track(index.value());
    if (index.value().ended) {
        m_ended.insert(index.value().id);
        end(index.value().id);
        return;
    }
    const auto &id = index.value().id;
    const bool isKnown = m_opened.count(id) > 0 || m_admission.contains(id) || m_ended.count(id) > 0;
    if (!isKnown) {
        load(index.value());
    }
}

void BatchWatch::load(const BatchIndex &index)
{
    m_admission.add(index);
    loadAdmitted();
    if (m_admission.isWaiting(index.id)) {
        m_log.info("batch_waits_for_memory",
                   {{"batch", index.id},
                    {"workspace", index.workspace},
                    {"bytes", BatchAdmission::heldBytes(index)},
                    {"held_bytes", m_admission.heldBytes()},
                    {"waiting", m_admission.waitingCount()}});
    }
}

void BatchWatch::loadAdmitted()
{
    while (const auto index = m_admission.next()) {
        const auto &id = index->id;
        const auto loader =
            std::make_shared<BatchLoader>(m_store, m_loop, m_log, *index, [this, id](Result<LoadedBatch> loaded) { finishLoad(id, std::move(loaded)); });
        m_loading[id] = loader;
        loader->start();
    }
}

void BatchWatch::finishLoad(const std::string &id, Result<LoadedBatch> loaded)
{
    m_loading.erase(id);
    if (loaded) {
        m_opened.insert(id);
        m_admission.finishLoad(id);
        m_hooks.onOpened(id, std::move(loaded.value()));
    } else {
        m_log.warning("batch_unreadable", {{"batch", id}, {"reason", loaded.error().message}});
        m_admission.remove(id);
    }
    loadAdmitted();
}

void BatchWatch::release(const std::string &id)
{
    m_admission.remove(id);
    loadAdmitted();
}

void BatchWatch::reload(const BatchIndex &index)
{
    m_opened.erase(index.id);
    m_admission.remove(index.id);
    load(index);
}

void BatchWatch::end(const std::string &id)
{
    if (const auto it = m_loading.find(id); it != m_loading.end()) {
        it->second->cancel();
        m_loading.erase(it);
    }
    m_admission.remove(id);
    if (m_opened.erase(id) > 0) {
        m_hooks.onEnded(id);
    }
    loadAdmitted();
}

}
