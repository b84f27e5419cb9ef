#include "scheduling/batchadmission.h"

#include "batches/batchrecords.h"

#include <algorithm>

namespace Basilbend
{

namespace
{

/// Part of the memory of the process that open batches usually hold; texts, and what is being loaded, need the rest.
constexpr std::size_t MemoryDivisor = 5;
/// Part of the limit that one workspace may hold.
constexpr std::size_t WorkspaceDivisor = 2;
/// Part of the limit below which a workspace counts as holding little.
constexpr std::size_t SmallUseDivisor = 8;
/// A workspace that holds little may exceed the limit up to this multiple of it.
constexpr std::size_t SmallUseFactor = 2;
/// Part of the limit that is loaded at the same time. While it is loaded, a batch takes several times its size.
constexpr std::size_t LoadingDivisor = 4;
/// What a leader keeps for an item beside its texts.
constexpr std::size_t ItemBytes = 800;

}

BatchAdmission::BatchAdmission(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t BatchAdmission::limitFor(std::size_t memoryBytes)
{
    return memoryBytes / MemoryDivisor;
}

std::size_t BatchAdmission::heldBytes(const BatchIndex &index)
{
    const auto submissionBytes = index.bytes > 0 ? index.bytes : index.parts * BatchRecords::SubmissionPartBytes;
    return submissionBytes + index.itemCount * ItemBytes;
}

void BatchAdmission::add(const BatchIndex &index)
{
    m_waiting.push_back(index);
}

std::size_t BatchAdmission::loadingBytes() const
{
    std::size_t n = 0;
    for (const auto &[id, batch] : m_held) {
        n += batch.isLoading ? batch.bytes : 0;
    }
    return n;
}

bool BatchAdmission::mayLoad(const BatchIndex &index) const
{
    const auto bytes = heldBytes(index);
    const auto loading = loadingBytes();
    if (loading > 0 && loading + bytes > m_limitBytes / LoadingDivisor) {
        return false;
    }
    const auto it = m_heldByWorkspace.find(index.workspace);
    const auto own = it == m_heldByWorkspace.end() ? 0 : it->second;
    if (m_heldBytes == 0 || (own + bytes <= m_limitBytes / SmallUseDivisor && m_heldBytes + bytes <= m_limitBytes * SmallUseFactor)) {
        return true;
    }
    const bool isWithinShare = own == 0 || own + bytes <= m_limitBytes / WorkspaceDivisor;
    return isWithinShare && m_heldBytes + bytes <= m_limitBytes;
}

std::optional<BatchIndex> BatchAdmission::next()
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), [this](const BatchIndex &index) { return mayLoad(index); });
    if (it == m_waiting.end()) {
        return std::nullopt;
    }
    auto index = std::move(*it);
    m_waiting.erase(it);
    const auto bytes = heldBytes(index);
    m_held[index.id] = {index.workspace, bytes, true};
    m_heldByWorkspace[index.workspace] += bytes;
    m_heldBytes += bytes;
    return index;
}

void BatchAdmission::finishLoad(const std::string &id)
{
    const auto it = m_held.find(id);
    if (it != m_held.end()) {
        it->second.isLoading = false;
    }
}

void BatchAdmission::remove(const std::string &id)
{
    m_waiting.remove_if([&id](const BatchIndex &index) { return index.id == id; });
    const auto it = m_held.find(id);
    if (it == m_held.end()) {
        return;
    }
    m_heldBytes -= it->second.bytes;
    const auto own = m_heldByWorkspace.find(it->second.workspace);
    own->second -= it->second.bytes;
    if (own->second == 0) {
        m_heldByWorkspace.erase(own);
    }
    m_held.erase(it);
}

bool BatchAdmission::isWaiting(const std::string &id) const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(), [&id](const BatchIndex &index) { return index.id == id; });
}

bool BatchAdmission::contains(const std::string &id) const
{
    return m_held.count(id) > 0 || isWaiting(id);
}

void BatchAdmission::clear()
{
    m_waiting.clear();
    m_held.clear();
    m_heldByWorkspace.clear();
    m_heldBytes = 0;
}

}
