#include "control/blackboard.h"

#include <random>

namespace Basilbend
{

std::uint64_t newIncarnation(Timestamp now)
{
    constexpr unsigned TimeShift = 24;
    std::random_device device;
    return (static_cast<std::uint64_t>(now.milliseconds()) << TimeShift) ^ ((std::uint64_t{device()} << 32) | device());
}

bool Blackboard::publishConfiguration(Configuration configuration)
{
    return publishConfiguration(std::make_shared<const Configuration>(std::move(configuration)));
}

bool Blackboard::publishConfiguration(std::shared_ptr<const Configuration> configuration)
{
    if (configuration->revision < m_configuration.load()->revision) {
        return false;
    }
    m_configuration.store(std::move(configuration));
    const auto current = m_configuration.load();
    for (const auto &listener : m_listeners) {
        listener(*current);
    }
    return true;
}

std::shared_ptr<const Configuration> Blackboard::configuration() const
{
    return m_configuration.load();
}

void Blackboard::onConfiguration(ConfigurationListener listener)
{
    m_listeners.push_back(std::move(listener));
}

}
