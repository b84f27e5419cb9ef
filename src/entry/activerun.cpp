#include "entry/activerun.h"

#include "entry/callersink.h"
#include "entry/entryhub.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds RevokeTimeout{5000};

}

ActiveRun::ActiveRun(EntryHub &hub, std::uint64_t number, RunRequest request, std::unique_ptr<RunSink> sink, CallerSink *caller)
    : m_hub(hub)
    , m_number(number)
    , m_sink(std::move(sink))
    , m_caller(caller)
    , m_keyDigest(request.keyDigest)
    , m_run(std::move(request), *this, *m_sink)
{
}

void ActiveRun::start()
{
    const std::lock_guard lock(m_mutex);
    m_hub.directory().firstAttempt(m_run.request().target());
    m_run.start(m_hub.now());
    removeWhenDone();
}

void ActiveRun::cancel(const Error &error)
{
    const std::lock_guard lock(m_mutex);
    m_run.cancel(error, m_hub.now());
    removeWhenDone();
}

void ActiveRun::tick(Timestamp now)
{
    const std::lock_guard lock(m_mutex);
    if (m_run.isDone()) {
        return;
    }
    if (m_caller != nullptr && m_caller->isLost(m_hub.settings().maxPendingBytes)) {
        m_hub.metrics().count("basilbend_entry_lost_callers_total");
        m_run.cancel(Error{ResultCode::Cancelled, "the caller left or does not read its answer"}, now);
        m_caller->abort();
    } else {
        m_run.tick(now);
        if (m_caller != nullptr && !m_run.isDone()) {
            m_caller->tick(now, m_hub.settings().keepAlivePeriod);
        }
    }
    removeWhenDone();
}

const std::string &ActiveRun::keyDigest() const
{
    return m_keyDigest;
}

void ActiveRun::removeWhenDone()
{
    if (m_run.isDone()) {
        m_hub.remove(m_number);
    }
}

Result<ChosenEndpoint> ActiveRun::choose(const RunRequest &request, const std::set<std::string> &exclude)
{
    return m_hub.directory().choose(request, exclude, m_hub.now());
}

AttemptId ActiveRun::newAttempt()
{
    return m_hub.newAttempt();
}

void ActiveRun::sendAttempt(std::uint64_t generation, const ChosenEndpoint &endpoint, const AttemptRequest &request)
{
    HttpClientRequest call;
    call.method = "POST";
    call.url = "http://" + endpoint.address + "/internal/attempts";
    call.headers = {{"traceparent", request.traceparent}};
    call.body = request.toText();
    call.freshConnection = !request.idempotent;
    send(generation, std::move(call));
}

void ActiveRun::reattach(std::uint64_t generation, const ChosenEndpoint &endpoint, const AttemptId &attempt, std::uint64_t fromLine)
{
    HttpClientRequest call;
    call.url = "http://" + endpoint.address + "/internal/attempts/" + attempt.toString() + "?incarnation=" + std::to_string(endpoint.incarnation)
        + "&from=" + std::to_string(fromLine);
    // The old connections may all have gone silent.
    call.freshConnection = true;
    m_hub.metrics().count("basilbend_entry_reattached_total");
    send(generation, std::move(call));
}

void ActiveRun::send(std::uint64_t generation, HttpClientRequest request)
{
    request.silenceTimeout = m_hub.settings().silenceTimeout;
    const auto self = shared_from_this();
    const auto done = [self, generation](const HttpClientResponse &response) {
        const std::lock_guard lock(self->m_mutex);
        self->m_run.exchangeEnded(generation, response, self->m_hub.now());
        self->removeWhenDone();
    };
    m_exchange = m_hub.client().send(std::move(request), done, [self, generation](int status, std::string_view data) {
        const std::lock_guard lock(self->m_mutex);
        self->m_run.received(generation, status, data, self->m_hub.now());
        self->removeWhenDone();
    });
}

void ActiveRun::dropExchange()
{
    m_hub.client().cancel(m_exchange);
}

void ActiveRun::cancelAttempt(const ChosenEndpoint &endpoint, const AttemptId &attempt)
{
    HttpClientRequest call;
    call.method = "POST";
    call.url = "http://" + endpoint.address + "/internal/attempts/revoke";
    call.body = nlohmann::json{{"attempt", attempt.toString()}, {"sidecar_incarnation", endpoint.incarnation}, {"cancel", true}}.dump();
    call.timeout = Internal::RevokeTimeout;
    m_hub.client().send(std::move(call), nullptr);
}

void ActiveRun::wakeUpAfter(std::uint64_t generation, Milliseconds delay)
{
    m_hub.loop().postAfter(delay, [self = shared_from_this(), generation] {
        const std::lock_guard lock(self->m_mutex);
        self->m_run.wokenUp(generation, self->m_hub.now());
        self->removeWhenDone();
    });
}

bool ActiveRun::takeRetry(const std::string &target)
{
    return m_hub.directory().takeRetry(target);
}

void ActiveRun::attemptStarted(const ChosenEndpoint &endpoint)
{
    m_hub.directory().started(endpoint.node);
}

void ActiveRun::attemptEnded(const ChosenEndpoint &endpoint)
{
    m_hub.directory().ended(endpoint.node);
}

void ActiveRun::endpointUnreachable(const ChosenEndpoint &endpoint)
{
    m_hub.directory().unreachable(endpoint.node);
}

void ActiveRun::observeSpeed(const ChosenEndpoint &endpoint, double msPerToken)
{
    m_hub.directory().observeSpeed(endpoint.node, msPerToken);
}

Milliseconds ActiveRun::joinDeltas() const
{
    return m_hub.joinDeltas();
}

void ActiveRun::count(const char *event)
{
    m_hub.metrics().count(std::string("basilbend_entry_") + event + "_total");
}

}
