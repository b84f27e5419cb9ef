#include "scheduling/itemprompt.h"

#include "forwarding/fielddigest.h"
#include "platform/wirenames.h"

namespace Basilbend
{

RequestFingerprint promptOf(const BatchItem &item, const BatchSubmission &submission, const BatchIndex &index)
{
    FieldDigest digest;
    digest.add(index.workspace);
    digest.add(index.host);
    digest.add(submission.model);
    digest.add(item.path);
    digest.add(item.fields.value(Wire::Model));
    digest.add(item.fields.value(Wire::PromptPrefix));
    digest.add(item.body);
    return {digest.hexText()};
}

}
