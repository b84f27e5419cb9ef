#include "soak/faultplan.h"

#include <csignal>
#include <numeric>

namespace Basilbend
{

namespace
{

constexpr Milliseconds RestartCheckInterval{100};
constexpr Milliseconds MissedChangesTime{900};
/// Limits of endpoints are drawn in steps of half a request per second.
constexpr std::uint64_t MaxHalfLimit = 12;

}

FaultPlan::FaultPlan(EventLoop loop, Random &random, Random &limitRandom, SoakSystem &system)
    : m_loop(std::move(loop))
    , m_random(random)
    , m_limitRandom(limitRandom)
    , m_system(system)
    , m_faultKinds{{5, [this] { killProcess(); }},
                   {4, [this] { pauseProcess(); }},
                   {3, [this] { terminateProcess(); }},
                   {5, [this] { cutStoreLink(); }},
                   {2, [this] { cutClientLink(); }},
                   {2, [this] { failStore(); }},
                   {3, [this] { loseCommits(); }},
                   {2, [this] { dropWatchEvents(); }},
                   {3, [this] { crashEndpoint(); }},
                   {4, [this] { cutEndpointLink(); }},
                   {2, [this] { changeConfiguration(); }},
                   {1, [this] { changeSettings(); }}}
{
}

void FaultPlan::start()
{
    m_startedAt = m_loop.now();
    injectNext();
    limitEndpoints();
}

void FaultPlan::injectNext()
{
    if (m_isStopped) {
        return;
    }
    const int total = std::accumulate(m_faultKinds.begin(), m_faultKinds.end(), 0, [](int sum, const FaultKind &kind) { return sum + kind.weight; });
    auto left = static_cast<int>(m_random.below(static_cast<std::uint64_t>(total)));
    for (const auto &kind : m_faultKinds) {
        left -= kind.weight;
        if (left < 0) {
            kind.inject();
            break;
        }
    }
    // One fault in three is followed by the next one within 150 ms, so that faults overlap.
    const bool followsAtOnce = m_random.below(3) == 0;
    m_loop.runAfter(followsAtOnce ? randomDuration(1, 150) : randomDuration(200, 1800), [this] { injectNext(); });
}

void FaultPlan::stop()
{
    m_isStopped = true;
    m_system.store().faults = {};
    for (auto &endpoint : m_system.endpoints()) {
        endpoint->setLimit(std::nullopt);
    }
    for (auto &node : m_system.nodes()) {
        node.storeProxy->setFault(LinkFault::None);
        if (node.clientProxy) {
            node.clientProxy->setFault(LinkFault::None);
        }
        node.process->signal(SIGCONT);
        // A process that was paused when it was told to stop drains only now.
        restartOnceStopped(node);
    }
    logFault("all faults of the store, links and processes ended");
}

void FaultPlan::logFault(const std::string &what)
{
    m_faultLog.push_back(std::to_string((m_loop.now() - m_startedAt).count()) + " ms: " + what);
}

Milliseconds FaultPlan::randomDuration(std::uint64_t shortest, std::uint64_t longest)
{
    return durationFrom(m_random, shortest, longest);
}

Milliseconds FaultPlan::durationFrom(Random &random, std::uint64_t shortest, std::uint64_t longest)
{
    return Milliseconds(shortest + random.below(longest - shortest + 1));
}

SoakNode &FaultPlan::randomNode()
{
    auto &nodes = m_system.nodes();
    return nodes[m_random.below(nodes.size())];
}

void FaultPlan::restart(SoakNode &node)
{
    if (!node.process->isRunning()) {
        node.process->start();
        m_system.recordDisturbance(node.name, m_loop.now());
    }
}

void FaultPlan::restartOnceStopped(SoakNode &node)
{
    restart(node);
    if (node.process->isStopRequested()) {
        m_loop.runAfter(RestartCheckInterval, [this, &node] { restartOnceStopped(node); });
    }
}

void FaultPlan::killProcess()
{
    auto &node = randomNode();
    const auto downTime = m_random.below(2) == 0 ? Milliseconds(20) : randomDuration(200, 3000);
    logFault("kill " + node.name + " for " + std::to_string(downTime.count()));
    node.process->kill();
    m_system.recordProcessFault(node);
    m_system.recordDisturbance(node.name, m_loop.now() + downTime);
    m_loop.runAfter(downTime, [this, &node] { restart(node); });
}

void FaultPlan::pauseProcess()
{
    auto &node = randomNode();
    const auto pause = randomDuration(100, 4500);
    logFault("pause " + node.name + " for " + std::to_string(pause.count()));
    node.process->signal(SIGSTOP);
    m_system.recordProcessFault(node);
    m_system.recordDisturbance(node.name, m_loop.now() + pause);
    m_loop.runAfter(pause, [this, &node] {
        node.process->signal(SIGCONT);
        m_system.recordProcessFault(node);
        m_system.recordDisturbance(node.name, m_loop.now());
    });
}

void FaultPlan::terminateProcess()
{
    auto &node = randomNode();
    logFault("terminate " + node.name);
    node.process->signal(SIGTERM);
    // The process has the grace period to stop; after that it is killed, as the platform does.
    m_loop.runAfter(Milliseconds(5000), [this, &node] {
        if (!m_isStopped) {
            node.process->kill();
            m_system.recordProcessFault(node);
        }
        restart(node);
    });
}

Milliseconds FaultPlan::setLinkFault(FaultProxy &proxy, const std::string &name)
{
    if (m_random.below(4) == 0) {
        logFault("reset " + name);
        proxy.resetAll();
        return Milliseconds(0);
    }
    const LinkFault faults[] = {LinkFault::Refuse, LinkFault::Silent, LinkFault::SilentAnswers, LinkFault::Slow};
    const auto fault = faults[m_random.below(4)];
    const auto length = randomDuration(200, 3000);
    logFault(std::string(linkFaultName(fault)) + " " + name + " for " + std::to_string(length.count()));
    proxy.setFault(fault);
    if (fault == LinkFault::Refuse) {
        proxy.resetAll();
    }
    m_loop.runAfter(length, [&proxy] { proxy.setFault(LinkFault::None); });
    return length;
}

void FaultPlan::cutStoreLink()
{
    auto &node = randomNode();
    const auto length = setLinkFault(*node.storeProxy, "store link of " + node.name);
    m_system.recordDisturbance(node.name, m_loop.now() + length);
}

void FaultPlan::cutClientLink()
{
    auto &node = randomNode();
    if (node.clientProxy) {
        const auto length = setLinkFault(*node.clientProxy, "client link of " + node.name);
        m_system.recordDisturbance(node.name, m_loop.now() + length);
    }
}

void FaultPlan::failStore()
{
    const auto length = randomDuration(200, 3500);
    logFault("store refuses for " + std::to_string(length.count()));
    m_system.store().faults.refuses = true;
    m_system.recordDisturbance({}, m_loop.now() + length);
    m_loop.runAfter(length, [this] { m_system.store().faults.refuses = false; });
}

void FaultPlan::loseCommits()
{
    const auto n = 1 + m_random.below(4);
    logFault("store loses the answers of " + std::to_string(n) + " commits");
    m_system.store().faults.lostCommits = static_cast<int>(n);
}

void FaultPlan::dropWatchEvents()
{
    logFault("watches miss changes");
    m_system.store().faults.watchesMissChanges = true;
    m_system.recordDisturbance({}, m_loop.now() + MissedChangesTime);
    m_loop.runAfter(MissedChangesTime, [this] { m_system.store().faults.watchesMissChanges = false; });
}

void FaultPlan::crashEndpoint()
{
    auto &endpoints = m_system.endpoints();
    auto &endpoint = *endpoints[m_random.below(endpoints.size())];
    logFault("crash " + endpoint.id());
    endpoint.crash(randomDuration(300, 3000));
}

void FaultPlan::cutEndpointLink()
{
    auto &endpoints = m_system.endpoints();
    auto &endpoint = *endpoints[m_random.below(endpoints.size())];
    setLinkFault(endpoint.proxy(), "link of " + endpoint.id());
}

void FaultPlan::limitEndpoints()
{
    if (m_isStopped) {
        return;
    }
    const double limit = static_cast<double>(m_limitRandom.below(MaxHalfLimit) + 1) / 2;
    const auto length = durationFrom(m_limitRandom, 4000, 9000);
    const bool limitsAll = m_limitRandom.below(2) == 0;
    for (auto &endpoint : m_system.endpoints()) {
        if (!endpoint->isPlain()) {
            continue;
        }
        logFault(endpoint->id() + " names a limit of " + std::to_string(limit) + " for " + std::to_string(length.count()));
        endpoint->setLimit(limit);
        m_loop.runAfter(length, [&endpoint = *endpoint] { endpoint.setLimit(std::nullopt); });
        if (!limitsAll) {
            break;
        }
    }
    m_loop.runAfter(length + durationFrom(m_limitRandom, 100, 2000), [this] { limitEndpoints(); });
}

void FaultPlan::changeConfiguration()
{
    if (m_random.below(2) == 0) {
        logFault("withdraw a key");
        m_system.withdrawKey();
    } else {
        logFault("change a timeout");
        m_system.setRouteTimeout(randomDuration(1000, 3000));
        m_system.publishConfiguration();
    }
}

void FaultPlan::changeSettings()
{
    auto &node = randomNode();
    logFault("change the settings of " + node.name);
    m_system.touchSettings(node);
    node.process->signal(SIGHUP);
}

}
