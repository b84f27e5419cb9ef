#pragma once

#include "metadata/metadatastore.h"

#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

/// The metadata store as a process sees it that is out of step: while a feed is held, none of its watches and listings is answered; other
/// calls are.
class HeldFeedStore : public MetadataStore
{
public:
    /// prefix: only the feeds of keys below it are held.
    HeldFeedStore(MetadataStore &store, std::string prefix)
        : m_store(store)
        , m_prefix(std::move(prefix))
    {
    }

    bool isHeld = false;

    void release()
    {
        isHeld = false;
        const auto held = std::move(m_held);
        m_held.clear();
        for (const auto &answer : held) {
            answer.callback(answer.reply);
        }
    }

    /// Releases the feeds; what was held is lost, as on connections that have broken.
    void releaseWithLoss()
    {
        for (auto &answer : m_held) {
            answer.reply = {};
            answer.reply.status = MetadataStatus::Unknown;
        }
        release();
    }

    void get(const std::string &key, Callback callback) override
    {
        m_store.get(key, std::move(callback));
    }

    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override
    {
        m_store.list(prefix, afterKey, holding(prefix, std::move(callback)));
    }

    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override
    {
        m_store.watch(prefix, afterRevision, span, holding(prefix, std::move(callback)));
    }

    void commit(const MetadataChange &change, Callback callback) override
    {
        m_store.commit(change, std::move(callback));
    }

    void createLease(Milliseconds span, Callback callback) override
    {
        m_store.createLease(span, std::move(callback));
    }

    void renewLease(std::uint64_t lease, Callback callback) override
    {
        m_store.renewLease(lease, std::move(callback));
    }

    void revokeLease(std::uint64_t lease, Callback callback) override
    {
        m_store.revokeLease(lease, std::move(callback));
    }

private:
    struct HeldAnswer {
        Callback callback;
        MetadataReply reply;
    };

    Callback holding(const std::string &prefix, Callback callback)
    {
        if (prefix != m_prefix) {
            return callback;
        }
        return [this, callback = std::move(callback)](const MetadataReply &reply) {
            if (isHeld) {
                m_held.push_back({callback, reply});
            } else {
                callback(reply);
            }
        };
    }

    MetadataStore &m_store;
    std::string m_prefix;
    std::vector<HeldAnswer> m_held;
};

}
