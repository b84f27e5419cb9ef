#pragma once

#include "entry/entryservice.h"
#include "spread/peer.h"

#include <memory>
#include <vector>

namespace Basilbend
{

struct ControlEntrySettings {
    /// Base URLs of the platform's services, without a slash at the end. Empty: no host list, or no reports.
    std::string storeUrl;
    std::string hostListUrl;
    std::string usageReportsUrl;

    /// Digest of the operator credential, see keyDigest(). Empty: the operators' API is not served.
    std::string operatorCredentialDigest;

    /// The other entries; the node of a peer is its internal address.
    std::vector<Peer> entries;
    Milliseconds storeTimeout{2000};
    Milliseconds usageWindow{60000};
};

/// The control work of an entry: configuration, freshness, leadership of usage reports, and usage. Construct it before the
/// service starts, and destroy it after the service stopped.
class ControlEntry
{
public:
    ControlEntry(EntryService &service, ControlEntrySettings settings, NowFunction now);
    ~ControlEntry();
    ControlEntry(const ControlEntry &) = delete;
    ControlEntry &operator=(const ControlEntry &) = delete;

    /// Starts to give up duties and to write what is held; before the service stops listening. Any thread.
    void beginLeaving();
    /// True when duties are resigned and usage is in the store. Not on the control thread.
    bool isFlushed();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
