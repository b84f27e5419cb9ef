#pragma once

#include "base/attemptid.h"
#include "base/result.h"
#include "versions/versionsegment.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Basilbend
{

/// Stamps the output of one engine with weight versions that are proved. The evidence is the tag on each chunk, checked
/// against the version that the engine confirmed when it was last asked. Queries are numbered, and an answer counts only
/// when its query was sent after the last event that made the version doubtful (start, load order, contradiction).
class VersionStamper
{
public:
    enum class Check {
        /// The tag is the confirmed version.
        Verified,
        /// The tag is plausible, but only the next confirmation decides; the tokens must not be resumed from until then.
        Provisional,
        /// The tag contradicts the evidence; the attempt has failed with VersionUnverified.
        Contradiction,
    };

    /// The verdict on a stream whose output ended while its versions were provisional.
    struct Resolution {
        AttemptId attempt;
        bool verified = false;
        VersionList versions;
    };

    explicit VersionStamper(bool engineTagsChunks);

    /// Numbers a version query that is about to be sent to the engine.
    std::uint64_t beginQuery();

    /// Takes the engine's answer. Late answers and those of a loading engine are ignored, and so is the old version during a
    /// swap that has not failed. Returns verdicts on streams that had ended in doubt.
    std::vector<Resolution> queryAnswered(std::uint64_t query, std::uint64_t version, bool loading);

    /// To be called before a load order is sent. Fails with SwapFailed when a swap is in progress, the version isn't
    /// newer, or the engine doesn't tag chunks and has open streams.
    Result<void> beginSwap(std::uint64_t version);

    /// The load order failed, got no answer or was not confirmed in time: the engine may have either version until a query
    /// tells which.
    void swapFailed();

    /// The engine process was lost or restarted; its version is unknown until a query tells.
    void engineLost();

    /// Registers a stream about to be started. Fails with VersionUnverified (not run) when the engine is out of rotation
    /// or below the minimum version, and during a swap of an engine without tags.
    Result<void> open(const AttemptId &attempt, std::uint64_t minimumVersion);

    /// Checks a chunk; tokens that came without a tag from an engine with tags contradict.
    Check chunk(const AttemptId &attempt, std::optional<std::uint64_t> tag, std::uint64_t tokens);

    /// The stream's output ended. With Verified, versions() is final and the stream can be closed; with Provisional its
    /// verdict comes from queryAnswered().
    Check finish(const AttemptId &attempt);

    /// Forgets a stream, for example after a cancellation or when its verdict was used.
    void close(const AttemptId &attempt);

    VersionList versions(const AttemptId &attempt) const;

    /// The version that new streams will get; nothing while it is in doubt.
    std::optional<std::uint64_t> confirmedVersion() const;

    /// False from a contradiction, failed swap or lost engine until a fresh confirmation, and while nothing is confirmed.
    bool inRotation() const;

    bool isSwapping() const;
    std::size_t openStreams() const;

    /// Chunks that contradicted the evidence since the start.
    std::uint64_t contradictions() const;

private:
    struct Stream {
        VersionList versions;
        std::uint64_t tokens = 0;
        /// First tag seen other than the version confirmed at that moment, to be proved by the next confirmation.
        bool inDoubt = false;
        bool failed = false;
        bool ended = false;
        /// Queries numbered below it were sent before the output ended and prove nothing about an untagged stream.
        std::uint64_t provedFrom = 0;
    };

    Check contradict(Stream &stream);
    bool proves(const Stream &stream, std::uint64_t version, bool changedUnasked) const;
    std::vector<Resolution> resolve(std::uint64_t query, std::uint64_t version, bool changedUnasked);

    bool m_tagged;
    std::optional<std::uint64_t> m_confirmed;
    std::optional<std::uint64_t> m_target;
    bool m_swapFailed = false;
    bool m_inRotation = false;
    std::uint64_t m_lastQuery = 0;
    /// Answers to queries numbered below it are late.
    std::uint64_t m_firstValidQuery = 1;
    std::uint64_t m_contradictions = 0;
    std::map<AttemptId, Stream> m_streams;
};

}
