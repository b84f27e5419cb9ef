#pragma once

#include "base/eventloop.h"
#include "catalog/endpointrecord.h"
#include "forwarding/answeredrequests.h"
#include "forwarding/crashhistory.h"
#include "forwarding/endpointpicker.h"
#include "forwarding/endpointtrials.h"
#include "gateway/crashledger.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "net/metrics.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Finds out which endpoints have crashed, and which requests they ran. Shares what it finds with the other gateways.
class CrashMonitor
{
public:
    /// Everything that is passed must outlive the monitor.
    CrashMonitor(WebClient &client, MetadataStore &store, const EventLoop &loop, EventLog &log, Metrics &metrics, EndpointPicker &picker);

    void start();

    /// Finds out whether an endpoint that broke off a request has crashed: its host then refuses connections. An endpoint that still
    /// accepts them has only closed the connection, and one that leaves says nothing about the request.
    void checkEndpoint(const EndpointRecord &endpoint, std::function<void(bool hasCrashed)> callback);

    void recordCrash(const EndpointCrash &crash);

    /// Clears a request that an endpoint has answered.
    void recordAnswer(const RequestFingerprint &request);

    CrashHistory &history()
    {
        return m_history;
    }

    EndpointTrials &trials()
    {
        return m_trials;
    }

    CrashLedger &ledger()
    {
        return m_ledger;
    }

    /// A host answers within a few milliseconds.
    static constexpr Milliseconds ProbeTimeout{60};

private:
    using Callbacks = std::vector<std::function<void(bool)>>;

    void expireLater();

    WebClient &m_client;
    EventLoop m_loop;
    EventLog &m_log;
    Metrics &m_metrics;
    EndpointPicker &m_picker;
    CrashHistory m_history;
    AnsweredRequests m_answered;
    EndpointTrials m_trials;
    CrashLedger m_ledger;
    /// Checks in progress, by the address of the endpoint: one for all requests that it broke off.
    std::map<std::string, Callbacks> m_checks;
};

}
