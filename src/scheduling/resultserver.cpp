#include "scheduling/resultserver.h"

#include <algorithm>
#include <charconv>

namespace Basilbend
{

namespace
{

/// Limit for the result texts in one response, so that the results sent to a gateway at once stay below one megabyte. A single
/// larger result is still sent.
constexpr std::size_t MaxResponseBytes = 900 * 1000;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

}

ResultServer::ResultServer(EventLoop loop, ResultServerHooks hooks)
    : m_loop(std::move(loop))
    , m_hooks(std::move(hooks))
{
}

void ResultServer::open(const BatchIndex &index, std::size_t listedBefore)
{
    close(index.id);
    auto &batch = m_batches[index.id];
    batch.workspace = index.workspace;
    batch.itemCount = index.itemCount;
    batch.begin = listedBefore;
}

void ResultServer::addListed(const std::string &id, const std::vector<ItemResult> &results)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end()) {
        return;
    }
    auto &batch = it->second;
    for (const auto &result : results) {
        batch.results.push_back(result);
        batch.bytes += result.text.size();
        m_bytes += result.text.size();
    }
    const auto readers = std::move(batch.readers);
    batch.readers.clear();
    for (const auto &reader : readers) {
        if (reader.position < batch.end()) {
            sendResults(batch, reader);
        } else {
            batch.readers.push_back(reader);
        }
    }
    evict();
}

void ResultServer::evict()
{
    while (m_bytes > MaxBytes) {
        const auto largest = std::max_element(m_batches.begin(), m_batches.end(), [](const auto &a, const auto &b) { return a.second.bytes < b.second.bytes; });
        auto &batch = largest->second;
        const auto bytes = batch.results.front().text.size();
        batch.results.pop_front();
        ++batch.begin;
        batch.bytes -= bytes;
        m_bytes -= bytes;
    }
}

void ResultServer::close(const std::string &id)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end()) {
        return;
    }
    for (const auto &reader : it->second.readers) {
        refuse(reader.exchange, NotKnownStatus);
    }
    m_bytes -= it->second.bytes;
    m_batches.erase(it);
}

void ResultServer::clear()
{
    for (const auto &[id, batch] : m_batches) {
        for (const auto &reader : batch.readers) {
            refuse(reader.exchange, NotLeadingStatus);
        }
    }
    m_batches.clear();
    m_bytes = 0;
}

void ResultServer::serve(const std::shared_ptr<ServerExchange> &exchange)
{
    const auto &fields = exchange->request().fields;
    const std::string id(fields.value(BatchField));
    const Reader reader{++m_lastReaderNumber, parseNumber(fields.value(AfterField)), exchange};
    if (!m_hooks.isLeading()) {
        refuse(exchange, NotLeadingStatus);
        return;
    }
    const auto it = m_batches.find(id);
    if (it == m_batches.end() || reader.position < it->second.begin) {
        refuse(exchange, NotKnownStatus);
        return;
    }
    auto &batch = it->second;
    if (reader.position < batch.end() || reader.position >= batch.itemCount) {
        sendResults(batch, reader);
        return;
    }
    const auto wait = std::min(Milliseconds(static_cast<std::int64_t>(parseNumber(fields.value(WaitField)))), MaxWait);
    batch.readers.push_back(reader);
    m_loop.runAfter(wait, [this, id, number = reader.number] { finishWait(id, number); });
}

void ResultServer::finishWait(const std::string &id, std::uint64_t number)
{
    const auto it = m_batches.find(id);
    if (it == m_batches.end()) {
        return;
    }
    auto &readers = it->second.readers;
    const auto reader = std::find_if(readers.begin(), readers.end(), [number](const Reader &waiting) { return waiting.number == number; });
    if (reader == readers.end()) {
        return;
    }
    const auto ended = *reader;
    readers.erase(reader);
    if (m_hooks.knowsAllListed(id)) {
        sendResults(it->second, ended);
    } else {
        refuse(ended.exchange, NotKnownStatus);
    }
}

void ResultServer::sendResults(const Batch &batch, const Reader &reader)
{
    BatchRecords::ResultChunk chunk{batch.workspace, batch.itemCount, {}};
    std::size_t bytes = 0;
    for (auto position = reader.position; position < batch.end(); ++position) {
        const auto &result = batch.results[position - batch.begin];
        bytes += result.text.size();
        if (!chunk.results.empty() && bytes > MaxResponseBytes) {
            break;
        }
        chunk.results.push_back(result);
    }
    reader.exchange->respond({200, {{"Content-Type", "application/json"}}, BatchRecords::encodeChunk(chunk)});
}

void ResultServer::refuse(const std::shared_ptr<ServerExchange> &exchange, int status)
{
    exchange->respond({status, {}, {}});
}

}
