#include "scheduling/progresswriter.h"

#include "batches/batchrecords.h"
#include "election/leaderelection.h"
#include "scheduling/progressrecord.h"

namespace Basilbend
{

namespace
{

constexpr std::size_t MaxProgressBytes = 500 * 1000;

}

ProgressWriter::ProgressWriter(MetadataStore &store, EventLoop loop, EventLog &log, std::shared_ptr<OpenBatch> batch, std::function<std::uint64_t()> term)
    : m_store(store)
    , m_loop(std::move(loop))
    , m_log(log)
    , m_batch(std::move(batch))
    , m_term(std::move(term))
    , m_nextWriteAt(m_loop.now() + FirstWriteDelay)
{
}

void ProgressWriter::poll()
{
    const auto term = m_term();
    if (m_isWriting || m_loop.now() < m_nextWriteAt || term == 0 || m_batch->isDecided()) {
        return;
    }
    const auto texts = m_batch->progressTexts(MaxProgressBytes);
    if (texts.empty()) {
        return;
    }
    m_isWriting = true;
    const auto &id = m_batch->index().id;
    const MetadataChange change{{{LeaderElection::holderKey(), term}}, {{BatchRecords::progressKey(id), encodeProgress({m_batch->listed(), texts}), 0}}, {}};
    m_store.commit(change, [self = shared_from_this(), items = texts.size()](const MetadataReply &reply) {
        self->m_isWriting = false;
        self->m_nextWriteAt = self->m_loop.now() + WriteInterval;
        self->m_log.info("progress_written", {{"batch", self->m_batch->index().id}, {"items", items}, {"store", metadataStatusName(reply.status)}});
    });
}

}
