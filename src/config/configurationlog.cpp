#include "config/configurationlog.h"

#include "config/configurationjson.h"
#include "config/jsonreader.h"
#include "store/store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Basilbend
{

namespace Internal
{

constexpr auto HeadKey = "config/head";

// Every watcher reads the head at each edit, so its size is limited: about 40 KB with edits of 300 bytes.
constexpr std::size_t MaxEditsPerHead = 128;

// The store accepts values of up to one megabyte.
constexpr std::size_t SnapshotPartSizeBytes = 512 * 1024;

// A retry is needed only when another writer wrote first. At 12,000 edits a day this many conflicts in a row mean a fault.
constexpr int MaxAttempts = 10;

std::string snapshotKey(std::uint64_t revision, std::uint64_t part)
{
    return "config/snapshot/" + std::to_string(revision) + "/" + std::to_string(part);
}

std::uint64_t partCount(std::size_t bytes)
{
    return (bytes + SnapshotPartSizeBytes - 1) / SnapshotPartSizeBytes;
}

}

struct ConfigurationLog::Submission {
    ConfigurationEdit edit;
    DoneCallback done;
    int attempts = 0;
    /// Whether the response to a write was lost, so that the log may already contain the edit.
    bool writeOutcomeUnknown = false;
    ConfigurationHead proposedHead;
    std::string snapshot;
};

ConfigurationLog::ConfigurationLog(Store &store, ConfigurationState &state, std::string node, std::uint64_t incarnation)
    : m_store(store)
    , m_state(state)
    , m_node(std::move(node))
    , m_incarnation(incarnation)
{
}

void ConfigurationLog::refresh(const DoneCallback &done)
{
    m_store.get(Internal::HeadKey, [this, done](const Result<std::optional<StoreEntry>> &entry) {
        if (!entry) {
            done(entry.error());
            return;
        }
        applyHead(entry.value(), done);
    });
}

void ConfigurationLog::watch(Milliseconds span, const DoneCallback &done)
{
    m_store.watch(Internal::HeadKey, m_headVersion, span, [this, done](const Result<std::vector<StoreEntry>> &entries) {
        if (!entries) {
            done(entries.error());
            return;
        }
        if (entries.value().empty()) {
            done(m_state.revision());
            return;
        }
        applyHead(entries.value().front(), done);
    });
}

void ConfigurationLog::applyHead(const std::optional<StoreEntry> &entry, const DoneCallback &done)
{
    if (!entry) {
        done(m_state.revision());
        return;
    }
    auto head = headFromText(entry->value);
    if (!head) {
        done(head.error());
        return;
    }
    // A response that arrives after a newer one must not lower the expected version.
    if (entry->version < m_headVersion) {
        done(m_state.revision());
        return;
    }
    m_head = std::move(head.value());
    m_headVersion = entry->version;
    if (m_state.revision() < m_head.snapshotRevision) {
        readSnapshot(m_head, 0, {}, done);
        return;
    }
    applyEdits(m_head);
    done(m_state.revision());
}

void ConfigurationLog::applyEdits(const ConfigurationHead &head)
{
    auto revision = head.snapshotRevision;
    for (const auto &edit : head.edits) {
        ++revision;
        if (!m_state.apply(revision, edit)) {
            return;
        }
    }
}

void ConfigurationLog::readSnapshot(const ConfigurationHead &head, std::uint64_t part, const std::string &text, const DoneCallback &done)
{
    if (part < head.snapshotParts) {
        m_store.get(Internal::snapshotKey(head.snapshotRevision, part), [this, head, part, text, done](const Result<std::optional<StoreEntry>> &entry) {
            if (!entry) {
                done(entry.error());
            } else if (!entry.value()) {
                done(Error{ResultCode::StoreUnavailable, "a part of the configuration snapshot is missing; the head has moved on"});
            } else {
                readSnapshot(head, part + 1, text + entry.value()->value, done);
            }
        });
        return;
    }
    const auto json = parseJsonObject(text, "configuration snapshot");
    if (!json) {
        done(json.error());
        return;
    }
    auto configuration = configurationFromJson(json.value());
    if (!configuration) {
        done(configuration.error());
        return;
    }
    m_state.replace(std::move(configuration.value()));
    applyEdits(head);
    done(m_state.revision());
}

void ConfigurationLog::submit(ConfigurationEdit edit, const DoneCallback &done)
{
    edit.mark = WriteMark{m_node, m_incarnation, ++m_lastWriteNumber};
    const auto submission = std::make_shared<Submission>();
    submission->edit = std::move(edit);
    submission->done = done;
    refresh([this, submission](const Result<std::uint64_t> &revision) {
        if (!revision) {
            submission->done(revision.error());
            return;
        }
        tryWrite(submission);
    });
}

ConfigurationHead ConfigurationLog::nextHead(const std::string &edit) const
{
    auto head = m_head;
    if (head.edits.size() >= Internal::MaxEditsPerHead) {
        head.edits.clear();
        head.snapshotRevision = m_state.revision();
    }
    head.edits.push_back(edit);
    ++head.revision;
    return head;
}

void ConfigurationLog::tryWrite(const std::shared_ptr<Submission> &submission)
{
    if (m_state.revision() != m_head.revision || ++submission->attempts > Internal::MaxAttempts) {
        submission->done(Error{ResultCode::StoreUnavailable, "the configuration changes too fast to add to it", Execution::NotRun, Milliseconds(1000)});
        return;
    }
    const auto validation = checkEdit(*m_state.current(), submission->edit);
    if (!validation) {
        submission->done(validation.error());
        return;
    }
    submission->proposedHead = nextHead(toText(submission->edit));
    if (submission->proposedHead.snapshotRevision != m_head.snapshotRevision) {
        submission->snapshot = toJson(*m_state.current()).dump();
        submission->proposedHead.snapshotParts = Internal::partCount(submission->snapshot.size());
    } else {
        submission->snapshot.clear();
    }
    writeSnapshot(0, submission);
}

void ConfigurationLog::writeSnapshot(std::uint64_t part, const std::shared_ptr<Submission> &submission)
{
    if (part < Internal::partCount(submission->snapshot.size())) {
        const auto text = submission->snapshot.substr(part * Internal::SnapshotPartSizeBytes, Internal::SnapshotPartSizeBytes);
        const auto key = Internal::snapshotKey(submission->proposedHead.snapshotRevision, part);
        m_store.compareAndSwap(key, 0, text, Milliseconds(0), [this, part, submission](const Result<std::uint64_t> &version) {
            // A conflict means that another process wrote the same snapshot: each revision has exactly one content.
            if (!version && version.error().code != ResultCode::StoreConflict) {
                submission->done(Error{ResultCode::StoreUnavailable, "the configuration snapshot could not be written: " + version.error().message});
                return;
            }
            writeSnapshot(part + 1, submission);
        });
        return;
    }
    m_store.compareAndSwap(
        Internal::HeadKey, m_headVersion, toText(submission->proposedHead), Milliseconds(0), [this, submission](const Result<std::uint64_t> &version) {
            if (version) {
                if (version.value() > m_headVersion) {
                    m_head = submission->proposedHead;
                    m_headVersion = version.value();
                    applyEdits(m_head);
                }
                submission->done(submission->proposedHead.revision);
                return;
            }
            if (version.error().code == ResultCode::StoreUnavailable && !submission->writeOutcomeUnknown) {
                submission->done(version.error());
                return;
            }
            submission->writeOutcomeUnknown = submission->writeOutcomeUnknown || version.error().code != ResultCode::StoreConflict;
            findOwnEdit(submission);
        });
}

void ConfigurationLog::findOwnEdit(const std::shared_ptr<Submission> &submission)
{
    refresh([this, submission](const Result<std::uint64_t> &revision) {
        if (!revision) {
            const auto code = submission->writeOutcomeUnknown ? ResultCode::StoreAnswerLost : ResultCode::StoreUnavailable;
            const auto execution = submission->writeOutcomeUnknown ? Execution::Unknown : Execution::NotRun;
            submission->done(Error{code, "the store does not answer: " + revision.error().message, execution, Milliseconds(1000)});
            return;
        }
        const auto ownEdit = toText(submission->edit);
        const auto it = std::find(m_head.edits.begin(), m_head.edits.end(), ownEdit);
        if (it != m_head.edits.end()) {
            submission->done(m_head.snapshotRevision + static_cast<std::uint64_t>(it - m_head.edits.begin()) + 1);
            return;
        }
        // The edit may have been merged into a newer snapshot, where it can't be distinguished from others.
        if (submission->writeOutcomeUnknown && m_head.snapshotRevision >= submission->proposedHead.revision) {
            submission->done(Error{ResultCode::StoreAnswerLost, "the answer to the edit was lost; read the list to see whether it holds", Execution::Unknown});
            return;
        }
        tryWrite(submission);
    });
}

}
