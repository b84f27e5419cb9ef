#pragma once

#include "catalog/endpointrecord.h"
#include "endpoints/identitycheck.h"
#include "forwarding/crashhistory.h"
#include "http/webclient.h"
#include "platform/endpointcalls.h"

#include <memory>
#include <string>

namespace Basilbend
{

/// One attempt of a live request at one endpoint.
struct LiveAttempt {
    EndpointRecord endpoint;
    Timestamp sentAt;
    ClientCall call;
    /// Set while it is found out whether the endpoint meant to end its response.
    std::unique_ptr<IdentityCheck> check;
    EndpointResponseFields responseFields;
    ResponseHead head;
    std::string body;
    CrashedRun run = CrashedRun::Regular;
    bool hasHead = false;
    bool ended = false;
    /// The gateway itself ended the attempt.
    bool isAborted = false;
    /// The attempt has ended, and whether its response is whole or its endpoint has crashed is being found out.
    bool isBeingChecked = false;
};

}
