#include "scheduling/openbatch.h"

#include "batches/batchrecords.h"
#include "platform/clienttext.h"
#include "scheduling/grouporder.h"
#include "scheduling/itemprompt.h"
#include "scheduling/textlimit.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace Basilbend
{

namespace
{

/// Maximum number of events of an item without a token limit. A faulty endpoint may send events without end.
constexpr std::uint64_t MaxUnlimitedEvents = 100'000;

/// Whether the text has as many events as its item may have tokens; an event holds at least one token.
bool hasReachedLimit(const BatchItem &item, const ItemText &text)
{
    const auto limit = item.tokens > item.promptTokens ? item.tokens - item.promptTokens : MaxUnlimitedEvents;
    return text.eventCount() >= limit;
}

}

OpenBatch::OpenBatch(BatchIndex index, BatchSubmission submission, std::vector<std::string> listed)
    : m_index(std::move(index))
    , m_submission(std::move(submission))
    , m_progress(m_submission.items.size())
    , m_order(startOrder(m_submission, {}))
{
    std::unordered_map<std::string, std::size_t> groups;
    for (std::size_t i = 0; i < m_submission.items.size(); ++i) {
        m_indexOf.emplace(m_submission.items[i].id, i);
        m_groupOf.push_back(groups.emplace(m_submission.items[i].group, groups.size()).first->second);
        m_groups.resize(groups.size());
        auto &group = m_groups[m_groupOf.back()];
        ++group.unfinished;
        ++group.undecided;
        ++group.unlisted;
    }
    for (const auto &id : listed) {
        const auto i = indexOf(id);
        if (i && m_progress[*i].phase != ItemPhase::Decided) {
            decrementUnfinished(*i);
            m_progress[*i].phase = ItemPhase::Decided;
            ++m_decided;
            --m_groups[m_groupOf[*i]].undecided;
            --m_groups[m_groupOf[*i]].unlisted;
        }
    }
    m_listed = std::move(listed);
}

void OpenBatch::restoreTexts(const std::vector<ResumableText> &resumable, const BatchRules &rules)
{
    std::unordered_map<std::string_view, std::vector<const ResumableText *>> texts;
    for (const auto &text : resumable) {
        texts[text.itemId].push_back(&text);
    }
    std::set<std::string> carried;
    for (std::size_t i = 0; i < m_progress.size(); ++i) {
        const auto it = texts.find(m_submission.items[i].id);
        const auto *own = it == texts.end() ? nullptr : firstTextOf(i, it->second);
        if (own == nullptr) {
            continue;
        }
        carried.insert(own->itemId);
        m_groups[m_groupOf[i]].isCarried = true;
        const auto &text = own->text;
        const bool hasAllowedVersions = text.hasMinimumVersion(m_submission.minimumVersion) && (!rules.singleVersion || text.versions().size() <= 1);
        if (m_progress[i].phase != ItemPhase::Waiting || !hasAllowedVersions || text.eventCount() == 0) {
            continue;
        }
        discardText(m_progress[i]);
        m_textBytes += text.bytes();
        m_progress[i].text = text;
        if (own->isComplete) {
            complete(i);
        }
    }
    m_order = startOrder(m_submission, carried);
}

const ResumableText *OpenBatch::firstTextOf(std::size_t i, const std::vector<const ResumableText *> &candidates) const
{
    const auto prompt = promptOf(m_submission.items[i], m_submission, m_index);
    const auto it =
        std::find_if(candidates.begin(), candidates.end(), [&prompt](const ResumableText *text) { return !text->prompt || *text->prompt == prompt; });
    return it == candidates.end() ? nullptr : *it;
}

bool OpenBatch::addEvent(std::size_t i, std::uint64_t id, std::string data, std::uint64_t version, const BatchRules &rules, std::size_t otherTextBytes)
{
    auto &progress = m_progress[i];
    if (version < m_submission.minimumVersion) {
        return false;
    }
    const auto growth = data.size();
    const bool isTooLong =
        hasReachedLimit(m_submission.items[i], progress.text) || !TextLimit::allows(progress.text.bytes() + growth, otherTextBytes + m_textBytes + growth);
    if (isTooLong) {
        // The events came from a faulty endpoint, so the text can't be continued by another one.
        discardText(progress);
        return false;
    }
    progress.runsWithoutEvent = 0;
    if (rules.singleVersion && !progress.text.hasOnlyVersion(version)) {
        discardText(progress);
        return false;
    }
    const bool isAppended = progress.text.append(id, std::move(data), version);
    m_textBytes += isAppended ? growth : 0;
    return isAppended;
}

void OpenBatch::discardText(ItemProgress &progress)
{
    m_textBytes -= progress.text.bytes();
    progress.text.clear();
}

void OpenBatch::complete(std::size_t i)
{
    auto &progress = m_progress[i];
    if (progress.phase == ItemPhase::Decided || progress.phase == ItemPhase::Scoring) {
        return;
    }
    progress.isComplete = true;
    if (m_submission.items[i].reward) {
        decrementUnfinished(i);
        progress.phase = ItemPhase::Scoring;
    } else {
        decide(i, ItemOutcome::Completed);
    }
}

void OpenBatch::acceptScore(std::size_t i, std::string score)
{
    if (m_progress[i].phase == ItemPhase::Scoring) {
        decide(i, ItemOutcome::Completed, std::move(score));
    }
}

void OpenBatch::recordRewardError(std::size_t i, int attempts)
{
    if (m_progress[i].phase == ItemPhase::Scoring && ++m_progress[i].rewardErrors >= attempts) {
        terminate(i);
    }
}

void OpenBatch::decrementUnfinished(std::size_t i)
{
    const auto phase = m_progress[i].phase;
    if (phase != ItemPhase::Scoring && phase != ItemPhase::Decided) {
        --m_groups[m_groupOf[i]].unfinished;
    }
}

std::optional<std::size_t> OpenBatch::indexOf(const std::string &id) const
{
    const auto it = m_indexOf.find(id);
    return it == m_indexOf.end() ? std::nullopt : std::optional(it->second);
}

bool OpenBatch::hasWantedGroups(std::size_t GroupProgress::*open) const
{
    std::size_t complete = 0;
    for (const auto &group : m_groups) {
        if (group.*open == 0) {
            ++complete;
        } else if (group.isCarried) {
            return false;
        }
    }
    const auto wanted = m_submission.desiredGroups == 0 ? m_groups.size() : std::min(m_submission.desiredGroups, m_groups.size());
    return complete >= wanted;
}

void OpenBatch::terminate(std::size_t i)
{
    decide(i, ItemOutcome::Terminated);
}

std::vector<InvalidItem> OpenBatch::terminateInvalidItems()
{
    std::vector<InvalidItem> invalid;
    for (std::size_t i = 0; i < m_progress.size(); ++i) {
        const auto reason = m_progress[i].phase == ItemPhase::Decided ? std::nullopt : invalidTextOf(m_submission.items[i]);
        if (reason) {
            invalid.push_back({i, *reason});
            terminate(i);
        }
    }
    return invalid;
}

void OpenBatch::recordServerError(std::size_t i, const BatchRules &rules)
{
    if (++m_progress[i].serverErrors >= rules.attempts) {
        terminate(i);
    }
}

void OpenBatch::decide(std::size_t i, ItemOutcome outcome, std::string score)
{
    auto &progress = m_progress[i];
    if (progress.phase == ItemPhase::Decided) {
        return;
    }
    decrementUnfinished(i);
    progress.phase = ItemPhase::Decided;
    ++m_decided;
    --m_groups[m_groupOf[i]].undecided;
    ItemResult result;
    result.id = m_submission.items[i].id;
    result.outcome = outcome;
    if (outcome == ItemOutcome::Completed) {
        result.text = progress.text.joined();
        result.versions = progress.text.versions();
        result.score = std::move(score);
    }
    m_pending.push_back(std::move(result));
}

void OpenBatch::requeue(std::size_t i, const std::string &avoidedEndpoint, Timestamp notBefore)
{
    auto &progress = m_progress[i];
    if (progress.phase != ItemPhase::Running) {
        return;
    }
    progress.phase = ItemPhase::Waiting;
    progress.endpoint.clear();
    progress.avoidedEndpoint = avoidedEndpoint;
    progress.notBefore = notBefore;
}

std::vector<std::size_t> OpenBatch::expire(Timestamp now, const BatchRules &rules)
{
    std::vector<std::size_t> running;
    const bool isOver = rules.retention.count() > 0 && now >= Timestamp(m_index.submittedAtMs) + rules.retention;
    for (std::size_t i = 0; isOver && i < m_progress.size(); ++i) {
        if (m_progress[i].phase == ItemPhase::Running) {
            running.push_back(i);
        }
        terminate(i);
    }
    return running;
}

std::size_t OpenBatch::waitingCount(Timestamp now) const
{
    return static_cast<std::size_t>(std::count_if(m_progress.begin(), m_progress.end(), [now](const ItemProgress &progress) {
        return progress.phase == ItemPhase::Waiting && now >= progress.notBefore;
    }));
}

std::vector<ItemResult> OpenBatch::nextResults(std::size_t maxBytes) const
{
    std::vector<ItemResult> results;
    std::size_t bytes = 0;
    for (const auto &result : m_pending) {
        bytes += BatchRecords::maxEncodedBytes(result);
        if (!results.empty() && bytes > maxBytes) {
            break;
        }
        results.push_back(result);
    }
    return results;
}

void OpenBatch::markListed(std::size_t n)
{
    for (; n > 0 && !m_pending.empty(); --n) {
        if (const auto i = indexOf(m_pending.front().id)) {
            --m_groups[m_groupOf[*i]].unlisted;
        }
        m_listed.push_back(std::move(m_pending.front().id));
        m_pending.pop_front();
    }
}

void OpenBatch::freeRequests()
{
    for (auto &item : m_submission.items) {
        // Assigning an empty text would keep the buffer.
        std::string().swap(item.body);
        item.fields = HttpFields();
        item.reward.reset();
    }
}

std::vector<ResumableText> OpenBatch::progressTexts(std::size_t maxBytes) const
{
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < m_progress.size(); ++i) {
        if (m_progress[i].phase != ItemPhase::Decided && m_progress[i].text.eventCount() > 0) {
            order.push_back(i);
        }
    }
    std::sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) { return m_progress[a].text.eventCount() > m_progress[b].text.eventCount(); });
    std::vector<ResumableText> texts;
    std::size_t bytes = 0;
    for (const auto i : order) {
        bytes += m_progress[i].text.bytes();
        if (bytes > maxBytes) {
            break;
        }
        texts.push_back({m_submission.items[i].id, m_progress[i].text, m_progress[i].isComplete});
    }
    return texts;
}

std::vector<ResumableText> OpenBatch::resumableTexts() const
{
    std::map<std::string, bool> groupIsComplete;
    for (std::size_t i = 0; i < m_progress.size(); ++i) {
        const auto it = groupIsComplete.emplace(m_submission.items[i].group, true).first;
        it->second = it->second && m_progress[i].phase == ItemPhase::Decided;
    }
    // Groups with results that are not listed yet may look incomplete to the trainer.
    std::set<std::string> unlisted;
    for (const auto &result : m_pending) {
        unlisted.insert(result.id);
    }
    std::set<std::string> incompleteGroups;
    for (const auto &item : m_submission.items) {
        if (!groupIsComplete.at(item.group) || unlisted.count(item.id) > 0) {
            incompleteGroups.insert(item.group);
        }
    }
    std::vector<ResumableText> resumable;
    for (std::size_t i = 0; i < m_progress.size(); ++i) {
        if (incompleteGroups.count(m_submission.items[i].group) > 0) {
            const auto &item = m_submission.items[i];
            resumable.push_back({item.id, m_progress[i].text, m_progress[i].isComplete, promptOf(item, m_submission, m_index)});
        }
    }
    return resumable;
}

}
