#pragma once

#include "base/attemptid.h"
#include "replay/trace.h"

#include <deque>
#include <map>
#include <vector>

namespace Basilbend
{

/// A small model engine in virtual time: the token rate of a stream falls with the number of streams, prompts are read one
/// after the other, at most half of the time goes to them while streams run, and a known prefix is read ten times as fast.
class FakeEngine
{
public:
    struct Progress {
        AttemptId id;
        std::uint64_t tokens = 0;
        std::uint64_t version = 0;
        bool finished = false;
    };

    FakeEngine(const TracePool &pool, std::uint64_t version);

    /// The engine knows how many tokens the response has; nobody else does.
    void begin(const AttemptId &id, std::uint64_t promptTokens, std::uint64_t prefix, std::uint64_t tokens);
    void cancel(const AttemptId &id);

    /// Loads new weights during one pause; streams go on with them.
    void swapTo(std::uint64_t version, Timestamp now);

    /// Ends all streams and returns them; the engine is down for the span.
    std::vector<AttemptId> crash(Milliseconds span, Timestamp now);
    void slowDown(std::uint64_t factor, Timestamp until);

    /// Advances by the span that ends now. Returns the streams that produced tokens.
    std::vector<Progress> advance(Milliseconds span, Timestamp now);

    bool isUp(Timestamp now) const;
    bool isSwapping(Timestamp now) const;
    std::uint64_t version() const;

private:
    struct Stream {
        double promptLeft = 0;
        double carried = 0;
        std::uint64_t left = 0;
    };

    double readPrompts(double seconds);

    TracePool m_pool;
    std::uint64_t m_version;
    std::uint64_t m_nextVersion;
    std::map<AttemptId, Stream> m_streams;
    std::deque<AttemptId> m_reading;
    std::deque<std::uint64_t> m_prefixes;
    Timestamp m_pausedUntil;
    Timestamp m_downUntil;
    Timestamp m_slowUntil;
    std::uint64_t m_slowFactor = 1;
};

}
