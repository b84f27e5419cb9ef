#pragma once

#include "base/attemptid.h"
#include "base/timestamp.h"
#include "net/httpserver.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Basilbend
{

/// The connections that read the lines of attempts.
class AttemptStreams
{
public:
    AttemptStreams(Milliseconds keepAlivePeriod, std::size_t maxPendingBytes);

    /// Sends the lines from a number on and, unless the attempt has ended, what follows.
    void
    attach(const AttemptId &id, std::unique_ptr<HttpResponder> responder, const std::vector<std::string> &lines, std::size_t from, bool ended, Timestamp now);

    void emit(const AttemptId &id, const std::string &line, bool isLast, Timestamp now);

    /// Writes keep-alive lines and closes readers that fell behind.
    void tick(Timestamp now);

    /// Attempts under way without a reader since the given time.
    std::vector<AttemptId> unreadSince(Timestamp since) const;

    /// Readers that fell behind so far.
    std::size_t slowReaders() const;

private:
    struct Reader {
        std::unique_ptr<HttpResponder> responder;
        Timestamp lastWrite;
    };
    struct Stream {
        std::vector<Reader> readers;
        Timestamp lastRead;
    };

    void write(Reader &reader, const std::string &text, Timestamp now);

    Milliseconds m_keepAlivePeriod;
    std::size_t m_maxPendingBytes;
    std::map<AttemptId, Stream> m_streams;
    std::size_t m_slowReaders = 0;
};

}
