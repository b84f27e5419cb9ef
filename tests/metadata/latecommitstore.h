#pragma once

#include "metadata/metadatastore.h"

#include <optional>
#include <utility>

namespace Basilbend
{

/// A metadata store of which the first commit is executed late, right before the second one; both get no answer.
class LateCommitStore : public MetadataStore
{
public:
    explicit LateCommitStore(MetadataStore &store)
        : m_store(store)
    {
    }

    int commits = 0;

    void get(const std::string &key, Callback callback) override
    {
        m_store.get(key, std::move(callback));
    }

    void list(const std::string &prefix, const std::string &afterKey, Callback callback) override
    {
        m_store.list(prefix, afterKey, std::move(callback));
    }

    void watch(const std::string &prefix, std::uint64_t afterRevision, Milliseconds span, Callback callback) override
    {
        m_store.watch(prefix, afterRevision, span, std::move(callback));
    }

    void commit(const MetadataChange &change, Callback callback) override
    {
        if (++commits > 2) {
            m_store.commit(change, std::move(callback));
            return;
        }
        if (commits == 1) {
            m_late = change;
            // An answer to another call stands for the time-out of this one.
            m_store.get("none", [callback](const MetadataReply &) { callback(unknown()); });
            return;
        }
        m_store.commit(*m_late, [](const MetadataReply &) {});
        m_store.commit(change, [callback](const MetadataReply &) { callback(unknown()); });
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
    static MetadataReply unknown()
    {
        MetadataReply reply;
        reply.status = MetadataStatus::Unknown;
        return reply;
    }

    MetadataStore &m_store;
    std::optional<MetadataChange> m_late;
};

}
