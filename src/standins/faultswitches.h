#pragma once

#include "base/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace Basilbend
{

/// The fault switches of one stand-in: a fixed set of names, each with a value that keeps the JSON type of its default.
class FaultSwitches
{
public:
    explicit FaultSwitches(nlohmann::json defaults);

    /// Sets the named switches. Nothing changes when one of them is unknown (UnknownField) or of another type (ValueOutOfRange).
    Result<void> set(const nlohmann::json &changes);

    bool isOn(const std::string &name) const;
    std::int64_t number(const std::string &name) const;

    /// For switches that count down: true, and one less, as long as the number is above zero.
    bool take(const std::string &name);

    const nlohmann::json &values() const;

private:
    nlohmann::json m_values;
};

}
