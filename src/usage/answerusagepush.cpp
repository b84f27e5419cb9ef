#include "usage/answerusagepush.h"

namespace Basilbend
{

UsagePushAnswer answerUsagePush(const UsagePush &push, UsageCollector &collector, UsageAdopter &adopter)
{
    UsagePushAnswer answer{push.entry, push.incarnation, {}, 0, false};
    if (push.entry != collector.self().node || push.incarnation != collector.self().incarnation) {
        answer.covered = adopter.receive(push.entry, push.incarnation, push.nextBatch, push.records);
        return answer;
    }
    answer.fromOwner = true;
    answer.nextBatch = collector.nextBatch();
    for (const auto &record : push.records) {
        if (collector.isCovered(record.attempt.sequence)) {
            answer.covered.insert(record.attempt.sequence);
        } else {
            collector.add(record);
        }
    }
    return answer;
}

}
