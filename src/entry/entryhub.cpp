#include "entry/entryhub.h"

#include "entry/activerun.h"
#include "entry/callercheck.h"
#include "entry/callersink.h"

#include <algorithm>

namespace Basilbend
{

EntryHub::EntryHub(const EntrySettings &settings, NowFunction now, std::uint64_t incarnation, ControlLoop &loop)
    : m_settings(settings)
    , m_now(std::move(now))
    , m_incarnation(incarnation)
    , m_loop(loop)
    , m_directory(settings.zone, settings.router, Random(incarnation), settings.forgetEndpointAfter)
    , m_client(std::make_unique<HttpClient>())
{
}

EntryHub::~EntryHub()
{
    stop();
}

void EntryHub::stop()
{
    // Its last callbacks use the other members.
    m_client.reset();
}

std::uint64_t EntryHub::run(RunRequest request, std::unique_ptr<RunSink> sink)
{
    return add(std::move(request), std::move(sink), nullptr);
}

std::uint64_t EntryHub::runForCaller(RunRequest request, std::unique_ptr<CallerSink> sink)
{
    auto *caller = sink.get();
    return add(std::move(request), std::move(sink), caller);
}

std::uint64_t EntryHub::add(RunRequest request, std::unique_ptr<RunSink> sink, CallerSink *caller)
{
    std::shared_ptr<ActiveRun> active;
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = ++m_lastRun;
        request.endpointWait = m_settings.endpointWait;
        active = std::make_shared<ActiveRun>(*this, number, std::move(request), std::move(sink), caller);
        m_runs.emplace(number, active);
    }
    active->start();
    return number;
}

void EntryHub::cancel(std::uint64_t run, const Error &error)
{
    std::shared_ptr<ActiveRun> active;
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_runs.find(run);
        if (it == m_runs.end()) {
            return;
        }
        active = it->second;
    }
    active->cancel(error);
}

void EntryHub::remove(std::uint64_t run)
{
    const std::lock_guard lock(m_mutex);
    m_runs.erase(run);
}

std::vector<std::shared_ptr<ActiveRun>> EntryHub::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<ActiveRun>> runs;
    runs.reserve(m_runs.size());
    for (const auto &[number, run] : m_runs) {
        runs.push_back(run);
    }
    return runs;
}

void EntryHub::endWithdrawn(const Configuration &configuration)
{
    const CallerCheck check(configuration, true);
    for (const auto &run : all()) {
        if (!run->keyDigest().empty() && !check.isKeyValid(run->keyDigest())) {
            m_metrics.count("basilbend_entry_withdrawn_streams_total");
            run->cancel(Error{ResultCode::KeyWithdrawn, "the key was withdrawn"});
        }
    }
}

void EntryHub::tick(Timestamp now)
{
    for (const auto &run : all()) {
        run->tick(now);
    }
}

std::size_t EntryHub::activeRuns() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

Milliseconds EntryHub::joinDeltas() const
{
    const auto active = activeRuns();
    const auto &settings = m_settings.joining;
    if (active <= settings.fromRequests) {
        return Milliseconds(0);
    }
    return std::min(settings.longest, Milliseconds((active - settings.fromRequests) / settings.requestsPerMs));
}

const EntrySettings &EntryHub::settings() const
{
    return m_settings;
}

Timestamp EntryHub::now() const
{
    return m_now();
}

EndpointDirectory &EntryHub::directory()
{
    return m_directory;
}

HttpClient &EntryHub::client()
{
    return *m_client;
}

ControlLoop &EntryHub::loop()
{
    return m_loop;
}

Metrics &EntryHub::metrics()
{
    return m_metrics;
}

AttemptId EntryHub::newAttempt()
{
    return {m_settings.node, m_incarnation, ++m_lastSequence};
}

}
