#pragma once

#include "control/controlloop.h"
#include "net/httpserver.h"

#include <map>

namespace Basilbend
{

/// Handles a message to a subsystem on the control thread.
using InternalHandler = std::function<void(Blackboard &, Timestamp, HttpRequest, std::unique_ptr<HttpResponder>)>;

/// Paths that subsystems answer, "/internal/..." between processes and "/admin/..." for operators. Filled before the server
/// starts and only read afterwards.
class InternalRoutes
{
public:
    /// Requests whose path starts with the prefix go to the handler; the longest prefix wins.
    void add(std::string prefix, InternalHandler handler);

    /// Returns null when no prefix fits.
    const InternalHandler *find(const std::string &path) const;

private:
    std::map<std::string, InternalHandler> m_handlers;
};

/// A controller and its period.
struct PeriodicController {
    Milliseconds period{1000};
    ControllerFunction run;
};

/// What subsystems attach to a daemon before it starts.
struct Attachments {
    std::vector<PeriodicController> controllers;
    InternalRoutes routes;
};

}
