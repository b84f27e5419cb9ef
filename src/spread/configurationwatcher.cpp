#include "spread/configurationwatcher.h"

namespace Basilbend
{

ConfigurationWatcher::ConfigurationWatcher(std::string zone, WatcherSettings settings, FreshnessMonitor &freshness, WatcherHooks hooks)
    : m_zone(std::move(zone))
    , m_settings(settings)
    , m_freshness(freshness)
    , m_hooks(std::move(hooks))
{
}

void ConfigurationWatcher::setActive(bool active)
{
    m_active = active;
}

void ConfigurationWatcher::tick()
{
    const auto now = m_hooks.now();
    if (m_busy) {
        m_down = m_down || now > m_sentAt + m_settings.span + m_settings.patience;
    } else if (m_active && now >= m_nextTry) {
        watch();
    }
    // A watcher that is not fresh itself, for example after a pause, may have missed edits: its word counts for nothing.
    if (m_down && m_active && now >= m_nextDownStamp && m_freshness.isFresh(m_hooks.revision(), now)) {
        m_nextDownStamp = now + m_settings.retryPeriod;
        issue(false, Milliseconds(0));
    }
}

void ConfigurationWatcher::issue(bool reachable, Milliseconds age)
{
    m_freshness.note({m_zone, reachable, m_hooks.revision(), age}, m_hooks.now());
}

void ConfigurationWatcher::watch()
{
    m_busy = true;
    m_sentAt = m_hooks.now();
    m_hooks.watch(m_settings.span, [this](const Result<std::uint64_t> &result) {
        const auto now = m_hooks.now();
        m_busy = false;
        m_down = result.has_error();
        if (m_down) {
            m_nextTry = now + m_settings.retryPeriod;
            return;
        }
        // The store answered for some time after the watch was sent; the earliest is the safe one.
        issue(true, now - m_sentAt);
        if (result.value() > m_lastRevision) {
            m_lastRevision = result.value();
            m_hooks.changed();
        } else if (now < m_sentAt + m_settings.span / 2) {
            // A store that answers early without news must not be called in a loop.
            m_nextTry = m_sentAt + m_settings.span;
            return;
        }
        if (m_active) {
            watch();
        }
    });
}

}
