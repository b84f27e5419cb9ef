#include "usage/usageledger.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Basilbend
{

std::string UsagePush::toJson() const
{
    auto list = nlohmann::json::array();
    for (const auto &record : records) {
        list.push_back(usageRecordToJson(record));
    }
    return nlohmann::json{{"entry", entry}, {"incarnation", incarnation}, {"next_batch", nextBatch}, {"records", std::move(list)}}.dump();
}

std::optional<UsagePush> UsagePush::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        UsagePush push{json.at("entry").get<std::string>(), json.at("incarnation").get<std::uint64_t>(), json.at("next_batch").get<std::uint64_t>(), {}};
        for (const auto &item : json.at("records")) {
            push.records.push_back(usageRecordFromJson(item, push.entry, push.incarnation));
        }
        return push;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

std::string UsagePushAnswer::toJson() const
{
    return nlohmann::json{{"entry", entry}, {"incarnation", incarnation}, {"covered", covered.toString()}, {"next_batch", nextBatch}, {"from_owner", fromOwner}}
        .dump();
}

std::optional<UsagePushAnswer> UsagePushAnswer::fromJson(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        const auto covered = SequenceSet::fromString(json.at("covered").get<std::string>());
        if (!covered) {
            return std::nullopt;
        }
        return UsagePushAnswer{json.at("entry").get<std::string>(),
                               json.at("incarnation").get<std::uint64_t>(),
                               *covered,
                               json.at("next_batch").get<std::uint64_t>(),
                               json.at("from_owner").get<bool>()};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

UsageLedger::UsageLedger(UsageLedgerSettings settings, UsageLedgerHooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
{
}

void UsageLedger::add(const UsageRecord &record)
{
    auto [it, isNew] = m_owners.try_emplace(Name(record.attempt.entry, record.attempt.incarnation));
    auto &owner = it->second;
    if (isNew || owner.records.empty()) {
        owner.lastAnswer = m_hooks.now();
        owner.nextPush = m_hooks.now() + m_settings.firstPush;
    }
    owner.nextPush = std::min(owner.nextPush, m_hooks.now() + m_settings.firstPush);
    owner.records.emplace(record.attempt.sequence, record);
}

void UsageLedger::noteNextBatch(const std::string &entry, std::uint64_t incarnation, std::uint64_t nextBatch)
{
    auto [it, isNew] = m_owners.try_emplace(Name(entry, incarnation));
    if (isNew) {
        it->second.lastAnswer = m_hooks.now();
    }
    it->second.nextBatch = std::max(it->second.nextBatch, nextBatch);
}

std::size_t UsageLedger::size() const
{
    std::size_t n = 0;
    for (const auto &[name, owner] : m_owners) {
        n += owner.records.size();
    }
    return n;
}

void UsageLedger::flush()
{
    for (auto &[name, owner] : m_owners) {
        owner.nextPush = m_hooks.now();
    }
}

void UsageLedger::tick()
{
    const auto now = m_hooks.now();
    std::vector<Name> due;
    for (auto it = m_owners.begin(); it != m_owners.end();) {
        const auto &owner = it->second;
        // Owners without records are kept for a while, because they told the number of their next batch.
        if (owner.records.empty() && !owner.busy && now - owner.lastAnswer > m_settings.silenceLimit * 20) {
            it = m_owners.erase(it);
            continue;
        }
        if (!owner.records.empty() && !owner.busy && now >= owner.nextPush) {
            due.push_back(it->first);
        }
        ++it;
    }
    for (const auto &name : due) {
        push(name, m_owners.at(name));
    }
}

void UsageLedger::push(const Name &name, Owner &owner)
{
    UsagePush message{name.first, name.second, owner.nextBatch, {}};
    auto it = owner.records.lower_bound(owner.position);
    if (it == owner.records.end()) {
        it = owner.records.begin();
    }
    for (; it != owner.records.end() && message.records.size() < m_settings.maxRecordsPerPush; ++it) {
        message.records.push_back(it->second);
        owner.position = it->first + 1;
    }
    owner.busy = true;
    owner.nextPush = m_hooks.now() + m_settings.pushPeriod;
    m_hooks.pushToOwner(message, [this, name, message](const std::optional<UsagePushAnswer> &answer) { finish(name, message, true, answer); });
}

void UsageLedger::pushToOther(const Name &name, Owner &owner, const UsagePush &message)
{
    owner.busy = true;
    const auto done = [this, name, message](const std::optional<UsagePushAnswer> &answer) { finish(name, message, false, answer); };
    m_hooks.pushToOther(message, owner.attempt, done);
}

void UsageLedger::finish(const Name &name, const UsagePush &message, bool toOwner, const std::optional<UsagePushAnswer> &answer)
{
    auto &owner = m_owners.at(name);
    owner.busy = false;
    const bool valid = answer && answer->entry == name.first && answer->incarnation == name.second;
    if (!valid) {
        if (!toOwner) {
            ++owner.attempt;
        } else if (m_hooks.now() - owner.lastAnswer >= m_settings.silenceLimit) {
            pushToOther(name, owner, message);
        }
        return;
    }
    if (answer->fromOwner) {
        owner.lastAnswer = m_hooks.now();
    }
    owner.nextBatch = std::max(owner.nextBatch, answer->nextBatch);
    for (auto it = owner.records.begin(); it != owner.records.end();) {
        it = answer->covered.contains(it->first) ? owner.records.erase(it) : std::next(it);
    }
}

}
