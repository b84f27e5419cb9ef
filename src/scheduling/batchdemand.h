#pragma once

#include "base/timestamp.h"
#include "batches/batch.h"
#include "weights/modelworkload.h"

#include <map>
#include <string>

namespace Basilbend
{

/// Learns from batches what the steps of each model ask of its endpoints.
class BatchDemand
{
public:
    /// A batch has been opened.
    void noteBatch(const BatchSubmission &submission);

    /// Items of a batch wait for a place, this long after the batch was opened.
    void noteWaiting(const std::string &model, Milliseconds age, Timestamp now);

    /// A batch has been closed, this long after it was submitted; its results were due after the deadline (zero: none).
    void noteDuration(const std::string &model, Milliseconds age, Milliseconds deadline, Timestamp now);

    /// The demand and tightness of each model that has had a batch.
    std::map<std::string, ModelWorkload> loads(Timestamp now) const;

    /// Items that wait this long for a place show that a step is short of them.
    static constexpr Milliseconds TightWait{250};
    /// How long that is remembered.
    static constexpr Milliseconds TightTime{20000};

private:
    std::map<std::string, double> m_work;
    std::map<std::string, Timestamp> m_tightAt;
};

}
