#include "forwarding/requestfingerprint.h"

#include "forwarding/fielddigest.h"

namespace Basilbend
{

RequestFingerprint fingerprintOf(const RequestMessage &request, const std::string &workspace)
{
    FieldDigest digest;
    digest.add(workspace);
    digest.add(request.fields.value("Host"));
    digest.add(request.method);
    digest.add(request.target);
    digest.add(request.body);
    return {digest.hexText()};
}

}
