#pragma once

#include "base/timestamp.h"
#include "replay/trace.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Basilbend
{

/// Judges the service of each workspace in windows of 10 s: tokens generated for it, divided by the smaller of its demand and
/// its promise. The demand is what its open requests would have generated since the start of the window, or since their
/// arrival, at the rate of a stream in an engine full of such requests; where that is more work than the promise, the promise counts. Windows in
/// which less than a twentieth of the promise was due are not judged.
class ServiceMeter
{
public:
    struct Window {
        std::string workspace;
        Timestamp start;
        double due = 0;
        double served = 0;

        double ratio() const;
    };

    explicit ServiceMeter(const std::vector<TraceWorkspace> &workspaces);

    /// A request or sample arrives and needs this many tokens at this stream rate. Each of its tokens takes up the work of one
    /// generated token and its part of the prompt, in generated tokens.
    void arrived(std::size_t job, const std::string &workspace, std::uint64_t tokens, double streamRate, double workPerToken);

    /// Tokens that bring the job nearer to its end.
    void served(std::size_t job, std::uint64_t tokens);

    /// The job has ended or was refused; what it lacks counts in the window that runs, but not later.
    void ended(std::size_t job);

    /// New weights made the tokens of the job worthless; it needs all of them again.
    void restarted(std::size_t job, std::uint64_t tokens);

    void advance(Milliseconds span, Timestamp now);

    const std::vector<Window> &windows() const;

private:
    struct Job {
        double left = 0;
        double due = 0;
        double rate = 0;
        double workPerToken = 1;
        bool ended = false;
    };
    struct Account {
        double promise = 0;
        std::map<std::size_t, Job> jobs;
        Window window;
    };

    void closeWindow(Account &account, Timestamp now);

    std::map<std::string, Account> m_accounts;
    std::vector<Account *> m_owners;
    std::vector<Window> m_windows;
    Timestamp m_windowStart;
};

}
