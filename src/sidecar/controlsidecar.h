#pragma once

#include "sidecar/sidecarservice.h"

#include <memory>
#include <vector>

namespace Basilbend
{

/// The control work of a sidecar: it keeps usage records until they are in the store, and follows the configuration through
/// the answers to its heartbeats. Construct it before the service starts; it must outlive the service.
class ControlSidecar
{
public:
    /// The entries are internal addresses, as in the settings of the service.
    ControlSidecar(SidecarService &service, std::vector<std::string> entries, NowFunction now, Milliseconds usageWindow = Milliseconds(60000));
    ~ControlSidecar();
    ControlSidecar(const ControlSidecar &) = delete;
    ControlSidecar &operator=(const ControlSidecar &) = delete;

    /// Records that are not known to be in the store; a sidecar that shuts down waits until there are none. Not on the
    /// control thread.
    std::size_t heldRecords();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
