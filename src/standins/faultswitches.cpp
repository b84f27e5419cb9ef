#include "standins/faultswitches.h"

#include <utility>

namespace Basilbend
{

FaultSwitches::FaultSwitches(nlohmann::json defaults)
    : m_values(std::move(defaults))
{
}

Result<void> FaultSwitches::set(const nlohmann::json &changes)
{
    if (!changes.is_object()) {
        return Error{ResultCode::MalformedRequest, "faults must be a JSON object"};
    }
    for (const auto &[name, value] : changes.items()) {
        const auto it = m_values.find(name);
        if (it == m_values.end()) {
            return Error{ResultCode::UnknownField, "no fault switch named " + name};
        }
        const bool sameType = it->is_number() ? value.is_number_integer() : it->type() == value.type();
        if (!sameType) {
            return Error{ResultCode::ValueOutOfRange, "fault switch " + name + " is of type " + it->type_name()};
        }
    }
    m_values.update(changes);
    return boost::outcome_v2::success();
}

bool FaultSwitches::isOn(const std::string &name) const
{
    const auto &value = m_values.at(name);
    return value.is_boolean() ? value.get<bool>() : value.get<std::int64_t>() > 0;
}

std::int64_t FaultSwitches::number(const std::string &name) const
{
    return m_values.at(name).get<std::int64_t>();
}

bool FaultSwitches::take(const std::string &name)
{
    const auto left = number(name);
    if (left <= 0) {
        return false;
    }
    m_values[name] = left - 1;
    return true;
}

const nlohmann::json &FaultSwitches::values() const
{
    return m_values;
}

}
