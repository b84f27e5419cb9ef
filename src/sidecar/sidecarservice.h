#pragma once

#include "control/controlloop.h"
#include "control/internalroutes.h"
#include "net/httpclient.h"
#include "net/metrics.h"
#include "net/spanwriter.h"
#include "sidecar/sidecarcore.h"
#include "sidecar/sidecarsettings.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Basilbend
{

/// The process beside one endpoint. Several can run in one program.
class SidecarService
{
public:
    SidecarService(SidecarSettings settings, NowFunction now, SpanWriter::LineSink spans = nullptr);
    ~SidecarService();
    SidecarService(const SidecarService &) = delete;
    SidecarService &operator=(const SidecarService &) = delete;

    /// What subsystems attach; before start() only.
    Attachments &attachments();
    /// Adds fields to the heartbeat to each entry, and reads the answers. Both run on the control thread.
    void setHeartbeatHooks(std::function<void(nlohmann::json &)> write, std::function<void(const std::string &entry, const nlohmann::json &)> read);
    /// Called once per attempt that reached the endpoint, under the service's lock.
    void setUsageListener(std::function<void(const AttemptUsage &)> listener);

    ControlLoop &control();
    HttpClient &client();
    Metrics &metrics();

    /// Binds the address and starts; throws std::system_error when it can't be bound.
    void start();
    std::uint16_t port() const;
    /// "address:port", after start().
    std::string address() const;

    /// Changes the entries that load is reported to. Any thread.
    void setEntries(std::vector<std::string> entries);
    void setShare(const std::string &workspace, double share);
    EndpointReport load() const;

    /// Orders the engine to load a weight version. Fails when a swap is in progress or the version is not newer.
    Result<void> loadVersion(std::uint64_t version, const std::string &source, std::uint64_t fencingToken);

    /// Takes no new work and tells the entries at once; work under way runs to its end.
    void beginLeaving();
    bool isDrained() const;

    /// Ends everything at once.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
