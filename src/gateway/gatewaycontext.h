#pragma once

#include "base/eventloop.h"
#include "base/random.h"
#include "billing/usagecounter.h"
#include "catalog/systemview.h"
#include "forwarding/endpointpicker.h"
#include "forwarding/requestlimiter.h"
#include "gateway/answerbudget.h"
#include "gateway/crashmonitor.h"
#include "gateway/grantclient.h"
#include "gateway/leaderclient.h"
#include "gateway/streamorigins.h"
#include "gateway/submissionbudget.h"
#include "http/webclient.h"
#include "log/eventlog.h"
#include "metadata/metadatastore.h"
#include "net/metrics.h"

namespace Basilbend
{

/// Dependencies shared by the components of a gateway. They live as long as the process.
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
    /// Whether there are peer processes that relay calls to the metadata store. A failed call is retried through them if it was
    /// refused or it is idempotent.
    bool hasPeers = false;
    AnswerBudget answerBudget = {};
    RequestLimiter requestLimiter = RequestLimiter();
    LeaderClient leader = LeaderClient(client, loop, log, store);
    GrantClient grants = GrantClient(leader, loop, log);
    CrashMonitor crashes = CrashMonitor(client, store, loop, log, metrics, picker);
    StreamOrigins origins = StreamOrigins(store, loop, log, view);
    SubmissionBudget submissionBudget = SubmissionBudget();
};

}
