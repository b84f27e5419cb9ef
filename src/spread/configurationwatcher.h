#pragma once

#include "base/result.h"
#include "spread/freshnessmonitor.h"

#include <functional>

namespace Basilbend
{

struct WatcherSettings {
    /// How long the store holds a watch. A stamp is as old as its watch, so a longer span costs freshness and a shorter one
    /// costs calls (2 a second per watcher).
    Milliseconds span{500};

    /// A watch without an answer this long after its span means that the store is down.
    Milliseconds patience{500};
    Milliseconds retryPeriod{500};
};

struct WatcherHooks {
    NowFunction now;

    /// Watches the store for at most the span, brings the document up to date and calls back with its revision.
    std::function<void(Milliseconds span, std::function<void(const Result<std::uint64_t> &)>)> watch;

    /// The document's revision now.
    std::function<std::uint64_t()> revision;

    /// The document moved on.
    std::function<void()> changed;
};

/// Watches the store for the zone and issues the stamps from which all processes learn how fresh they are.
class ConfigurationWatcher
{
public:
    ConfigurationWatcher(std::string zone, WatcherSettings settings, FreshnessMonitor &freshness, WatcherHooks hooks);
    ConfigurationWatcher(const ConfigurationWatcher &) = delete;
    ConfigurationWatcher &operator=(const ConfigurationWatcher &) = delete;

    /// Only entries that were chosen watch.
    void setActive(bool active);
    bool isActive() const
    {
        return m_active;
    }

    /// Starts what is due; call it about ten times a second.
    void tick();

private:
    void watch();
    void issue(bool reachable, Milliseconds age);

    const std::string m_zone;
    const WatcherSettings m_settings;
    FreshnessMonitor &m_freshness;
    const WatcherHooks m_hooks;
    bool m_active = false;
    bool m_busy = false;
    bool m_down = false;
    std::uint64_t m_lastRevision = 0;
    Timestamp m_sentAt;
    Timestamp m_nextTry;
    Timestamp m_nextDownStamp;
};

}
