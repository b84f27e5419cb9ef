#include "replay/servicemeter.h"

#include <algorithm>

namespace Basilbend
{

namespace Internal
{

constexpr Milliseconds WindowLength{10000};
constexpr double LeastPartDue = 0.05;

}

double ServiceMeter::Window::ratio() const
{
    return due <= 0 ? 1 : served / due;
}

ServiceMeter::ServiceMeter(const std::vector<TraceWorkspace> &workspaces)
{
    for (const auto &workspace : workspaces) {
        auto &account = m_accounts[workspace.name];
        account.promise = static_cast<double>(workspace.promise);
        account.window.workspace = workspace.name;
    }
}

void ServiceMeter::arrived(std::size_t job, const std::string &workspace, std::uint64_t tokens, double streamRate, double workPerToken)
{
    auto &account = m_accounts[workspace];
    if (m_owners.size() <= job) {
        m_owners.resize(job + 1, nullptr);
    }
    m_owners[job] = &account;
    account.jobs[job] = {static_cast<double>(tokens), static_cast<double>(tokens), streamRate, workPerToken, false};
}

void ServiceMeter::served(std::size_t job, std::uint64_t tokens)
{
    auto &account = *m_owners.at(job);
    account.window.served += static_cast<double>(tokens);
    const auto it = account.jobs.find(job);
    if (it != account.jobs.end()) {
        it->second.left = std::max(0.0, it->second.left - static_cast<double>(tokens));
    }
}

void ServiceMeter::ended(std::size_t job)
{
    const auto it = m_owners.at(job)->jobs.find(job);
    if (it != m_owners[job]->jobs.end()) {
        it->second.ended = true;
    }
}

void ServiceMeter::restarted(std::size_t job, std::uint64_t tokens)
{
    const auto it = m_owners.at(job)->jobs.find(job);
    if (it != m_owners[job]->jobs.end()) {
        it->second.left = static_cast<double>(tokens);
        it->second.due = it->second.left;
    }
}

void ServiceMeter::advance(Milliseconds span, Timestamp now)
{
    const auto seconds = static_cast<double>(span.count()) / 1000;
    for (auto &[name, account] : m_accounts) {
        double wanted = 0;
        for (const auto &[id, job] : account.jobs) {
            wanted += std::min(job.due, job.rate * seconds) * job.workPerToken;
        }
        const auto part = wanted <= 0 ? 0 : std::min(1.0, account.promise * seconds / wanted);
        for (auto &[id, job] : account.jobs) {
            const auto due = std::min(job.due, job.rate * seconds) * part;
            job.due -= due;
            account.window.due += due;
        }
    }
    if (now - m_windowStart >= Internal::WindowLength) {
        for (auto &[name, account] : m_accounts) {
            closeWindow(account, now);
        }
        m_windowStart = now;
    }
}

const std::vector<ServiceMeter::Window> &ServiceMeter::windows() const
{
    return m_windows;
}

void ServiceMeter::closeWindow(Account &account, Timestamp now)
{
    const auto seconds = static_cast<double>(Internal::WindowLength.count()) / 1000;
    if (account.window.due > Internal::LeastPartDue * account.promise * seconds) {
        m_windows.push_back(account.window);
    }
    account.window.start = now;
    account.window.due = 0;
    account.window.served = 0;
    for (auto it = account.jobs.begin(); it != account.jobs.end();) {
        it->second.due = it->second.left;
        it = it->second.ended || it->second.left <= 0 ? account.jobs.erase(it) : std::next(it);
    }
}

}
