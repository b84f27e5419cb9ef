#pragma once

#include "net/httpserver.h"
#include "net/metrics.h"
#include "sidecar/attemptstreams.h"
#include "sidecar/sidecarcore.h"

#include <memory>
#include <mutex>

namespace Basilbend
{

/// The messages of entries about attempts, see section 5 of the design. Core and streams are used under the mutex.
class AttemptHandlers
{
public:
    AttemptHandlers(SidecarCore &core, AttemptStreams &streams, std::mutex &mutex, Metrics &metrics, NowFunction now);

    /// Returns false, and leaves the responder alone, when the request is about something else.
    bool handle(const HttpRequest &request, std::unique_ptr<HttpResponder> &responder);

private:
    void receive(const HttpRequest &request, std::unique_ptr<HttpResponder> responder);
    void attach(const HttpRequest &request, std::unique_ptr<HttpResponder> responder);
    void respondWithLines(const AttemptId &id, std::size_t from, const Result<void> &result, std::unique_ptr<HttpResponder> responder, Timestamp now);
    void revoke(const HttpRequest &request, HttpResponder &responder);

    SidecarCore &m_core;
    AttemptStreams &m_streams;
    std::mutex &m_mutex;
    Metrics &m_metrics;
    NowFunction m_now;
};

}
