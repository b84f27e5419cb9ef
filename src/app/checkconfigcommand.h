#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>

namespace CLI
{
class App;
}

namespace Basilbend
{

/// What "check-config" is to do.
struct ConfigCheckRequest {
    std::string file;
    /// File with the version in force; empty: nothing is compared.
    std::string against;
    bool writesJson = false;
    /// Memory of the smallest host that serves clients; zero: limits are not compared with it.
    std::size_t hostMemoryBytes = 0;
};

/// Checks a configuration and writes the findings. Returns the exit code: 0 without findings, 1 with findings, 2 if a file can't be read or
/// the system would not accept it.
int checkConfigurationFile(const ConfigCheckRequest &request, std::ostream &out);

/// Adds "check-config", which checks a configuration before the operator sends it.
void addCheckConfigCommand(CLI::App &app);

}
