#include "sidecar/attemptstreams.h"

#include "net/attemptline.h"

#include <algorithm>

namespace Basilbend
{

AttemptStreams::AttemptStreams(Milliseconds keepAlivePeriod, std::size_t maxPendingBytes)
    : m_keepAlivePeriod(keepAlivePeriod)
    , m_maxPendingBytes(maxPendingBytes)
{
}

void AttemptStreams::attach(
    const AttemptId &id, std::unique_ptr<HttpResponder> responder, const std::vector<std::string> &lines, std::size_t from, bool ended, Timestamp now)
{
    responder->begin(200, "application/x-ndjson", {});
    for (auto i = from; i < lines.size(); ++i) {
        responder->write(lines[i]);
    }
    if (ended) {
        responder->end();
        return;
    }
    auto &stream = m_streams[id];
    stream.lastRead = now;
    stream.readers.push_back({std::move(responder), now});
}

void AttemptStreams::emit(const AttemptId &id, const std::string &line, bool isLast, Timestamp now)
{
    auto &stream = m_streams[id];
    if (stream.lastRead == Timestamp()) {
        stream.lastRead = now;
    }
    for (auto &reader : stream.readers) {
        write(reader, line, now);
        if (isLast) {
            reader.responder->end();
        }
    }
    if (isLast) {
        m_streams.erase(id);
    }
}

void AttemptStreams::write(Reader &reader, const std::string &text, Timestamp now)
{
    if (reader.responder->pendingBytes() > m_maxPendingBytes) {
        ++m_slowReaders;
        reader.responder->abort();
        return;
    }
    reader.responder->write(text);
    reader.lastWrite = now;
}

void AttemptStreams::tick(Timestamp now)
{
    for (auto &[id, stream] : m_streams) {
        auto &readers = stream.readers;
        readers.erase(std::remove_if(readers.begin(), readers.end(), [](const Reader &reader) { return !reader.responder->isOpen(); }), readers.end());
        if (!readers.empty()) {
            stream.lastRead = now;
        }
        for (auto &reader : readers) {
            if (now - reader.lastWrite >= m_keepAlivePeriod) {
                AttemptLine line;
                line.attempt = id.toString();
                write(reader, line.toText() + "\n", now);
            }
        }
    }
}

std::vector<AttemptId> AttemptStreams::unreadSince(Timestamp since) const
{
    std::vector<AttemptId> unread;
    for (const auto &[id, stream] : m_streams) {
        if (stream.readers.empty() && stream.lastRead <= since) {
            unread.push_back(id);
        }
    }
    return unread;
}

std::size_t AttemptStreams::slowReaders() const
{
    return m_slowReaders;
}

}
