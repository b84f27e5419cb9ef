#include "config/configurationstate.h"

namespace Basilbend
{

namespace Internal
{

// Covers two hours at 12,000 edits a day; a process that is further behind loads a snapshot.
constexpr std::size_t MaxRecentEdits = 1000;

}

ConfigurationState::ConfigurationState()
    : m_current(std::make_shared<const Configuration>())
{
}

std::uint64_t ConfigurationState::revision() const
{
    return m_current->revision;
}

std::shared_ptr<const Configuration> ConfigurationState::current() const
{
    return m_current;
}

Result<bool> ConfigurationState::apply(std::uint64_t revision, const std::string &text)
{
    if (revision != m_current->revision + 1) {
        return false;
    }
    BOOST_OUTCOME_TRY(edit, editFromText(text));
    m_current = std::make_shared<const Configuration>(applyEdit(*m_current, edit));
    m_recentEdits.push_back(text);
    if (m_recentEdits.size() > Internal::MaxRecentEdits) {
        m_recentEdits.pop_front();
    }
    return true;
}

bool ConfigurationState::replace(Configuration configuration)
{
    if (configuration.revision <= m_current->revision) {
        return false;
    }
    m_current = std::make_shared<const Configuration>(std::move(configuration));
    m_recentEdits.clear();
    return true;
}

std::vector<std::string> ConfigurationState::editsAfter(std::uint64_t revision) const
{
    const auto oldest = m_current->revision - m_recentEdits.size();
    if (revision < oldest || revision >= m_current->revision) {
        return {};
    }
    return {m_recentEdits.begin() + static_cast<std::ptrdiff_t>(revision - oldest), m_recentEdits.end()};
}

}
