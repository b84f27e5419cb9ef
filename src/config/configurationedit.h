#pragma once

#include "base/result.h"
#include "config/configuration.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Basilbend
{

/// Removes an item of a list by its name.
struct Removal {
    ConfigurationList list = ConfigurationList::Plans;
    std::string name;
};

/// Withdraws the key with this id. Withdrawing a withdrawn key is not an error.
struct KeyWithdrawal {
    std::string keyId;
};

/// Identifies a write, so that a writer that lost the store's response can recognise its own write.
struct WriteMark {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
};

bool operator==(const WriteMark &a, const WriteMark &b);

/// A change by an operator. A value replaces the item with the same name.
struct ConfigurationEdit {
    std::variant<Plan, Access, Workspace, Route, KeyRecord, Removal, KeyWithdrawal> change;

    /// The revision that the edit is based on. The edit is rejected when its list has changed since. Edits of keys commute and are
    /// not checked.
    std::uint64_t baseRevision = 0;

    WriteMark mark;
};

/// Returns the list that an edit changes.
ConfigurationList editedList(const ConfigurationEdit &edit);

/// Serializes an edit as one line of JSON.
std::string toText(const ConfigurationEdit &edit);
Result<ConfigurationEdit> editFromText(const std::string &text);

/// Validates an edit against the configuration. Fails with RevisionConflict, which names both revisions, or with EditInvalid,
/// which names the invalid reference, for example a workspace on a plan that does not exist.
Result<void> checkEdit(const Configuration &configuration, const ConfigurationEdit &edit);

/// Applies an accepted edit and increments the revision.
Configuration applyEdit(const Configuration &configuration, const ConfigurationEdit &edit);

}
