#pragma once

#include "net/attemptline.h"
#include "net/attemptrequest.h"
#include "steps/partialsample.h"
#include "steps/sampleoutbox.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Basilbend
{

/// Samples of steps on the sidecar that produces them: the output of those that run, and the outbox of those that finished,
/// for an entry that takes a step over.
class SampleKeeper
{
public:
    explicit SampleKeeper(std::size_t maxBytes);

    /// A line of an attempt that has a sample tag.
    void observe(const AttemptRequest &request, const AttemptLine &line, Timestamp now);

    /// Answers {"step","attempts":[ID..]} with {"samples":[{"attempt","state","body"}..]}; state is running, finished or gone.
    Result<nlohmann::json> attach(const std::string &body) const;

    /// Drops the samples in {"step","attempts":[ID..]}.
    Result<void> release(const std::string &body);

    void expire(Timestamp now);
    const SampleOutbox &outbox() const;

private:
    SampleOutbox m_outbox;
    std::map<AttemptId, PartialSample> m_running;
};

}
