#pragma once

#include "system.h"

#include <string>

namespace Review
{

enum class Verdict {
    Held,
    Broken,
    NotRun,
};

/// Plays the case of a name, with its disruption if isTroubled is set.
Verdict play(const std::string &name, System &system, bool isTroubled);

}
