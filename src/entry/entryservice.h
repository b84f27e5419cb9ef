#pragma once

#include "control/controlloop.h"
#include "control/internalroutes.h"
#include "entry/callerapi.h"
#include "entry/entrysettings.h"
#include "net/spanwriter.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Basilbend
{

/// The process on an entry host. Several can run in one program.
class EntryService
{
public:
    EntryService(EntrySettings settings, NowFunction now, SpanWriter::LineSink spans = nullptr);
    ~EntryService();
    EntryService(const EntryService &) = delete;
    EntryService &operator=(const EntryService &) = delete;

    /// What subsystems attach; before start() only. Paths below /internal/ are served on the internal address, all others
    /// on the callers' address.
    Attachments &attachments();
    void setAdmission(AdmissionHooks hooks);
    /// Reads a heartbeat and adds to its answer, on the control thread.
    void setHeartbeatHook(std::function<void(const nlohmann::json &heartbeat, nlohmann::json &answer)> hook);

    ControlLoop &control();
    /// Runs requests that come from a subsystem, for example the samples of steps.
    EntryHub &hub();

    /// Binds the addresses and starts; throws std::system_error when one can't be bound.
    void start();
    std::uint16_t port() const;
    std::uint16_t internalPort() const;
    /// "address:port" for callers and for our processes, after start().
    std::string address() const;
    std::string internalAddress() const;

    /// Makes a configuration current. Any thread, after start().
    void publishConfiguration(Configuration configuration);

    /// Readiness turns false; requests go on, and answers ask callers to close their connections.
    void beginLeaving();
    /// Takes no new connections.
    void stopAccepting();
    /// True when no request runs.
    bool isDrained() const;

    /// Ends everything at once.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

}
