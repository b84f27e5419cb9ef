#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "billing/usagecounter.h"
#include "catalog/systemview.h"
#include "forwarding/endpointpicker.h"
#include "gateway/responsebufferbudget.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "net/metrics.h"

namespace Basilbend
{

/// What the parts of a gateway share. All of it lives as long as the process.
struct GatewayContext {
    EventLoop loop;
    EventLog &log;
    Metrics &metrics;
    WebClient &client;
    MetadataStore &store;
    SystemView &view;
    EndpointPicker &picker;
    UsageCounter &usage;
    Random &random;
    /// Other processes relay calls to the store, so a failure there means that nobody reaches it.
    bool hasPeers = false;
    ResponseBufferBudget responseBudget = {};
};

}
