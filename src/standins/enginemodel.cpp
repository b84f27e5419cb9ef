#include "standins/enginemodel.h"

#include <algorithm>
#include <utility>

namespace Basilbend
{

namespace Internal
{

// Slices keep the batch size close to continuous while streams come and go.
constexpr Milliseconds LongestSlice{10};
constexpr Milliseconds LoadHistory{10000};

}

EngineModel::EngineModel(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_policy(m_settings.policy)
    , m_version(m_settings.version)
    , m_cache(m_settings.cacheBlocks)
{
}

Result<void> EngineModel::submit(EngineRequest request, Sink sink, Timestamp now)
{
    if (isDown(now)) {
        return Error{ResultCode::EndpointFailed, "the engine restarts"};
    }
    if (find(request.id) != nullptr) {
        return Error{ResultCode::MalformedRequest, "request " + request.id + " is running already"};
    }
    if (m_waiting.size() >= m_settings.queueLimit) {
        ++m_totals.refused;
        return Error{ResultCode::Overloaded, "the queue of the engine is full"};
    }
    const CompletionText completion(request.prompt, request.seed);
    Stream stream;
    stream.next = CompletionText::countTokens(request.resumeText);
    stream.end = std::min(request.maxTokens, completion.length());
    if (request.resumeText != completion.text(stream.next)) {
        return Error{ResultCode::MalformedRequest, "resume_text is not a beginning of this completion"};
    }
    ++m_totals.runsByRequest[request.id];
    stream.text = request.resumeText;
    stream.request = std::move(request);
    stream.sink = std::move(sink);
    m_waiting.push_back(std::move(stream));
    return boost::outcome_v2::success();
}

std::optional<std::uint64_t> EngineModel::cancel(const std::string &id)
{
    const auto isIt = [&id](const Stream &stream) { return stream.request.id == id; };
    std::optional<std::uint64_t> produced;
    if (const auto it = std::find_if(m_running.begin(), m_running.end(), isIt); it != m_running.end()) {
        produced = it->produced;
        m_running.erase(it);
    } else if (const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), isIt); waiting != m_waiting.end()) {
        produced = 0;
        m_waiting.erase(waiting);
    }
    m_totals.cancelled += produced ? 1 : 0;
    return produced;
}

void EngineModel::advance(Timestamp now, double rate)
{
    auto at = m_last.value_or(now);
    while (at < now) {
        const auto slice = std::min(Internal::LongestSlice, now - at);
        at = at + slice;
        if (!m_paused && !isDown(at)) {
            admit(at);
            generate(static_cast<double>(slice.count()) / 1000.0, rate, at);
        }
    }
    m_last = now;
    recordLoad(now);
}

void EngineModel::crash(Timestamp now)
{
    ++m_totals.crashes;
    m_downUntil = now + m_settings.restartTime;
    m_policy = m_settings.policy;
    m_version = m_settings.version;
    m_cache.clear();
    m_contexts.clear();
    auto ended = std::exchange(m_running, {});
    std::move(m_waiting.begin(), m_waiting.end(), std::back_inserter(ended));
    m_waiting.clear();
    EngineChunk cut;
    cut.cut = true;
    for (const auto &stream : ended) {
        stream.sink(cut);
    }
}

bool EngineModel::isDown(Timestamp now) const
{
    return m_downUntil && now < *m_downUntil;
}

void EngineModel::setPaused(bool paused)
{
    m_paused = paused;
}

void EngineModel::setWeights(const std::string &policy, std::uint64_t version)
{
    m_policy = policy;
    m_version = version;
    ++m_totals.swaps;
}

const std::string &EngineModel::policy() const
{
    return m_policy;
}

std::uint64_t EngineModel::version() const
{
    return m_version;
}

const EngineSettings &EngineModel::settings() const
{
    return m_settings;
}

const EngineModel::Totals &EngineModel::totals() const
{
    return m_totals;
}

PrefixCache &EngineModel::cache()
{
    return m_cache;
}

EngineModel::Load EngineModel::laggingLoad(Timestamp now) const
{
    Load seen;
    for (const auto &load : m_loads) {
        if (load.at + m_settings.loadReportLag <= now) {
            seen = load;
        }
    }
    return seen;
}

std::optional<std::string> EngineModel::context(const std::string &id) const
{
    if (const auto *stream = find(id); stream != nullptr) {
        return stream->request.prompt + ' ' + stream->text;
    }
    const auto it = m_contexts.find(id);
    return it == m_contexts.end() ? std::nullopt : std::optional<std::string>(it->second);
}

void EngineModel::admit(Timestamp now)
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        auto stream = std::move(m_waiting.front());
        m_waiting.pop_front();
        const auto context = stream.request.prompt + ' ' + stream.text;
        const auto blocks = PrefixCache::blocksOf(context);
        const auto cached = m_cache.match(blocks) * PrefixCache::TokensPerBlock;
        const auto all = CompletionText::countTokens(context);
        stream.prefillLeft = static_cast<double>(all - cached);
        m_totals.prefillTokens += all - cached;
        m_totals.cachedTokens += cached;
        m_cache.insert(blocks, now);
        m_running.push_back(std::move(stream));
    }
}

void EngineModel::generate(double seconds, double rate, Timestamp now)
{
    const auto batch = static_cast<double>(m_running.size());
    const auto tokensPerStream = rate * seconds * m_settings.tokensPerSecond / (1.0 + m_settings.batchSlowdown * (batch - 1.0));
    auto prefillBudget = rate * seconds * m_settings.prefillTokensPerSecond;
    std::vector<Stream> ended;
    for (auto it = m_running.begin(); it != m_running.end();) {
        const auto prefill = std::min(prefillBudget, it->prefillLeft);
        prefillBudget -= prefill;
        it->prefillLeft -= prefill;
        if (it->prefillLeft <= 0) {
            it->progress += tokensPerStream;
            const auto whole = std::min(static_cast<std::uint64_t>(it->progress), it->end - std::min(it->end, it->next));
            it->progress -= static_cast<double>(whole);
            produce(*it, whole);
        }
        if (it->prefillLeft <= 0 && it->next >= it->end) {
            ended.push_back(std::move(*it));
            it = m_running.erase(it);
        } else {
            ++it;
        }
    }
    for (auto &stream : ended) {
        finish(stream, now);
    }
}

void EngineModel::produce(Stream &stream, std::uint64_t tokens)
{
    if (tokens == 0) {
        return;
    }
    const CompletionText completion(stream.request.prompt, stream.request.seed);
    EngineChunk chunk;
    for (std::uint64_t n = 0; n < tokens; ++n) {
        chunk.text += completion.token(stream.next++);
    }
    chunk.tokens = tokens;
    chunk.version = m_version;
    stream.produced += tokens;
    stream.text += chunk.text;
    m_totals.tokens += tokens;
    m_totals.tokensByRequest[stream.request.id] += tokens;
    m_totals.tokensByLabel[stream.request.label] += tokens;
    stream.sink(chunk);
}

void EngineModel::finish(Stream &stream, Timestamp now)
{
    const CompletionText completion(stream.request.prompt, stream.request.seed);
    const auto context = stream.request.prompt + ' ' + stream.text;
    m_cache.insert(PrefixCache::blocksOf(context), now);
    m_contexts[stream.request.id] = context;
    EngineChunk last;
    last.version = m_version;
    last.promptTokens = CompletionText::countTokens(stream.request.prompt);
    last.finishReason = stream.next >= completion.length() ? "stop" : "length";
    stream.sink(last);
}

void EngineModel::recordLoad(Timestamp now)
{
    m_loads.push_back({now, m_running.size(), m_waiting.size(), kvUsed()});
    while (m_loads.front().at + Internal::LoadHistory < now) {
        m_loads.pop_front();
    }
}

std::size_t EngineModel::kvUsed() const
{
    std::size_t used = m_cache.size();
    for (const auto &stream : m_running) {
        used += stream.next / PrefixCache::TokensPerBlock;
    }
    return used;
}

const EngineModel::Stream *EngineModel::find(const std::string &id) const
{
    const auto isIt = [&id](const Stream &stream) { return stream.request.id == id; };
    if (const auto it = std::find_if(m_running.begin(), m_running.end(), isIt); it != m_running.end()) {
        return &*it;
    }
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(), isIt);
    return it == m_waiting.end() ? nullptr : &*it;
}

}
