#pragma once

#include "base/result.h"
#include "config/configurationhead.h"
#include "config/configurationstate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Basilbend
{

class Store;
/// A value in the store with its key and version.
struct StoreEntry;

/// Reads and appends to the ordered log of edits in the platform's store. All calls and callbacks run on the control thread.
/// The store and the state must outlive the log, and the log must outlive its pending calls.
class ConfigurationLog
{
public:
    using DoneCallback = std::function<void(Result<std::uint64_t>)>;

    /// Node and incarnation identify this process in the write marks of its edits. By its write mark this process recognises
    /// its own edit in the log when the store's response was lost.
    ConfigurationLog(Store &store, ConfigurationState &state, std::string node, std::uint64_t incarnation);

    /// Updates the state to the head of the log. Reports the revision in force afterwards.
    void refresh(const DoneCallback &done);

    /// Waits at most the given time for a change of the head, then updates the state to it. Reports the revision in force.
    void watch(Milliseconds span, const DoneCallback &done);

    /// Appends an edit and reports its revision. Fails with RevisionConflict when its list changed after its base revision,
    /// EditInvalid when a reference is invalid, StoreUnavailable when nothing was written, and StoreAnswerLost when it is
    /// unknown whether the edit was written. Sets the write mark of the edit.
    void submit(ConfigurationEdit edit, const DoneCallback &done);

private:
    struct Submission;

    void applyHead(const std::optional<StoreEntry> &entry, const DoneCallback &done);
    void applyEdits(const ConfigurationHead &head);
    void readSnapshot(const ConfigurationHead &head, std::uint64_t part, const std::string &text, const DoneCallback &done);
    void tryWrite(const std::shared_ptr<Submission> &submission);
    void findOwnEdit(const std::shared_ptr<Submission> &submission);
    void writeSnapshot(std::uint64_t part, const std::shared_ptr<Submission> &submission);
    ConfigurationHead nextHead(const std::string &edit) const;

    Store &m_store;
    ConfigurationState &m_state;
    std::string m_node;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastWriteNumber = 0;

    /// The head as last read or written, and its version in the store.
    ConfigurationHead m_head;
    std::uint64_t m_headVersion = 0;
};

}
