#pragma once

#include "base/systemclock.h"
#include "gateway/gatewayservice.h"
#include "http/webserver.h"
#include "metadata/fakemetadatastore.h"

#include <asio/io_context.hpp>

namespace Basilbend
{

/// A gateway with a simulated metadata store in virtual time. Clients connect to it over the loopback interface.
struct GatewayProcess {
    GatewayProcess(asio::io_context &io, VirtualTime &time, MetadataStore &store)
        : log(
            EventLogSettings(), [&time] { return time.now(); }, [](std::string_view bytes) { return bytes.size(); })
        , client(io, systemNow)
        , view(store, virtualLoop(time), log, ViewScope::Serving, ViewWatchSpans{Milliseconds(2500), Milliseconds(5000)})
        , context{virtualLoop(time), log, metrics, client, store, view, picker, usage, random}
        , service(context, FreshnessRule())
        , server(io, "127.0.0.1:0", defaultServerHooks([this](const std::shared_ptr<ServerExchange> &exchange) { service.handle(exchange); }))
    {
        view.onEndpointsChanged = [this] { context.origins.update(); };
        view.onConfigurationChanged = [this] { context.origins.update(); };
        view.start();
        context.crashes.start();
    }

    EventLog log;
    Metrics metrics;
    Random random{1};
    WebClient client;
    SystemView view;
    EndpointPicker picker{"z"};
    UsageCounter usage{Milliseconds(5000)};
    GatewayContext context;
    GatewayService service;
    WebServer server;
};

}
