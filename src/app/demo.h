#pragma once

#include "standins/localsystem.h"
#include "standins/trainer.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace Basilbend
{

/// Runs a short sample of each user's workload over real sockets, prints the measures and checks them.
class Demo
{
public:
    explicit Demo(std::ostream &out);

    /// Runs callers that send pane reports (plain service, not idempotent) and completions, with faults of the plain service.
    void runPadana();

    /// Runs three training steps; new weights are published in the middle of the second.
    void runBengal();

    /// Prints the measures and the checks; returns whether all checks hold.
    bool printSummary();

private:
    void addMeasure(const std::string &name, const std::string &value);
    void expectZero(const std::string &name, std::uint64_t value);
    void compareUsage(const std::string &name, LocalSystem &system);
    void runTrainingSteps(LocalSystem &system);
    void summariseSteps(const std::vector<TrainerReport> &reports);

    std::ostream &m_out;
    std::vector<std::pair<std::string, std::string>> m_measures;
    std::vector<std::pair<std::string, std::uint64_t>> m_checks;
};

}
