#pragma once

#include "base/timestamp.h"
#include "config/configuration.h"
#include "control/snapshot.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Basilbend
{

/// Who this process is.
struct NodeIdentity {
    std::string node;
    /// Differs across restarts.
    std::uint64_t incarnation = 0;
    std::string zone;
    std::string region;
    /// "address:port" of the process's HTTP server, filled in once it is bound.
    std::string address;
};

/// The incarnation of a process that starts now: start time and random bits, so that neither a clock that was set back nor
/// equal random bits repeat one.
std::uint64_t newIncarnation(Timestamp now);

/// State that the controllers of one process share. The control thread alone changes it; members that traffic threads read
/// are snapshots or atomic.
class Blackboard
{
public:
    using ConfigurationListener = std::function<void(const Configuration &)>;

    NodeIdentity self;

    /// Makes a configuration current for all threads and tells the listeners. A lower revision than the current one is
    /// ignored and false is returned.
    bool publishConfiguration(std::shared_ptr<const Configuration> configuration);
    bool publishConfiguration(Configuration configuration);

    /// The current configuration, from any thread.
    std::shared_ptr<const Configuration> configuration() const;

    /// Listeners run on the control thread, after the configuration became current.
    void onConfiguration(ConfigurationListener listener);

    /// False while the process can't know of withdrawals; keyed requests are then refused.
    std::atomic<bool> configurationFresh{true};

    /// True once the process takes no new work.
    std::atomic<bool> leaving{false};

    /// Holds readiness back, for example until a first configuration is in force.
    std::atomic<bool> ready{true};

private:
    Snapshot<Configuration> m_configuration;
    std::vector<ConfigurationListener> m_listeners;
};

}
