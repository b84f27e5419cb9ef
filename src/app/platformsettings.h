#pragma once

#include "base/result.h"
#include "spread/peer.h"

#include <string>
#include <vector>

namespace Basilbend
{

class SettingsReader;

/// Addresses of the platform's services and of the other entries. An empty URL disables the functions that need it.
struct PlatformSettings {
    std::string storeUrl;
    std::string hostListUrl;
    std::string usageReportsUrl;
    std::string operatorCredentialDigest;
    std::vector<Peer> peers;
};

/// Reads "platform", "operators" and "peers" of an entry's settings file; faults are recorded in the reader.
PlatformSettings readPlatformSettings(SettingsReader &reader);

/// Parses "NODE,ZONE,ADDRESS:PORT"; fails with SettingsInvalid.
Result<Peer> peerFromText(const std::string &text);

}
