#include "sidecar/attemptwriter.h"

namespace Basilbend
{

AttemptWriter::AttemptWriter(std::string attempt, Milliseconds joinDeltas)
    : m_attempt(std::move(attempt))
    , m_joinDeltas(joinDeltas)
{
}

void AttemptWriter::write(AttemptLine line, const LineSink &sink)
{
    flush(sink);
    writeNumbered(std::move(line), sink);
}

void AttemptWriter::addOutput(const std::string &text, std::uint64_t tokens, std::optional<std::uint64_t> version, Timestamp now, const LineSink &sink)
{
    if (m_unsent.tokens > 0 && m_unsent.version != version) {
        flush(sink);
    }
    m_unsent.text += text;
    m_unsent.tokens += tokens;
    m_unsent.version = version;
    tick(now, sink);
}

void AttemptWriter::tick(Timestamp now, const LineSink &sink)
{
    const bool hasOutput = m_unsent.tokens > 0 || !m_unsent.text.empty();
    if (hasOutput && now - m_lastDelta >= m_joinDeltas) {
        flush(sink);
        m_lastDelta = now;
    }
}

void AttemptWriter::flush(const LineSink &sink)
{
    auto line = std::move(m_unsent);
    m_unsent = AttemptLine();
    if (line.tokens > 0 || !line.text.empty()) {
        line.kind = AttemptLine::Kind::Delta;
        writeNumbered(std::move(line), sink);
    }
}

void AttemptWriter::writeNumbered(AttemptLine line, const LineSink &sink)
{
    line.attempt = m_attempt;
    line.number = m_nextNumber++;
    sink(line);
}

}
