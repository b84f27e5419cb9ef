#pragma once

#include "net/attemptline.h"

#include <functional>

namespace Basilbend
{

/// Numbers the lines of one attempt and joins deltas that follow one another faster than the entry wants them.
class AttemptWriter
{
public:
    /// Receives the lines in order, each with the attempt's id and its number.
    using LineSink = std::function<void(const AttemptLine &line)>;

    explicit AttemptWriter(std::string attempt = {}, Milliseconds joinDeltas = Milliseconds(0));

    /// Writes a line; output that waits to be joined goes ahead of it.
    void write(AttemptLine line, const LineSink &sink);

    /// Adds output; no version while it is not proved.
    void addOutput(const std::string &text, std::uint64_t tokens, std::optional<std::uint64_t> version, Timestamp now, const LineSink &sink);

    /// Writes output that has waited long enough.
    void tick(Timestamp now, const LineSink &sink);

private:
    void flush(const LineSink &sink);
    void writeNumbered(AttemptLine line, const LineSink &sink);

    std::string m_attempt;
    Milliseconds m_joinDeltas;
    std::uint64_t m_nextNumber = 0;
    AttemptLine m_unsent;
    Timestamp m_lastDelta;
};

}
