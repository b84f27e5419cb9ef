#include "steps/samplecursor.h"

#include "steps/base64url.h"

#include <algorithm>
#include <optional>
#include <xxhash.h>

namespace Basilbend
{

namespace Internal
{

constexpr std::size_t WordBits = 64;
constexpr std::size_t ChecksumBytes = 8;
constexpr char BitmapForm = 1;
constexpr char RunsForm = 2;

void putNumber(std::string &bytes, std::uint64_t n)
{
    for (; n >= 128; n >>= 7U) {
        bytes.push_back(static_cast<char>((n & 127U) | 128U));
    }
    bytes.push_back(static_cast<char>(n));
}

std::optional<std::uint64_t> takeNumber(std::string_view &bytes)
{
    std::uint64_t n = 0;
    for (unsigned shift = 0; shift < 28 && !bytes.empty(); shift += 7) {
        const auto byte = static_cast<unsigned char>(bytes.front());
        bytes.remove_prefix(1);
        n |= static_cast<std::uint64_t>(byte & 127U) << shift;
        if (byte < 128) {
            return n;
        }
    }
    return std::nullopt;
}

std::string checksum(std::string_view payload, std::string_view stepId)
{
    const auto n = XXH3_64bits_withSeed(payload.data(), payload.size(), XXH3_64bits(stepId.data(), stepId.size()));
    std::string bytes(ChecksumBytes, '\0');
    for (std::size_t i = 0; i < ChecksumBytes; ++i) {
        bytes[i] = static_cast<char>((n >> (8 * i)) & 255U);
    }
    return bytes;
}

/// Number of bits in which a set differs from the same set moved up by one: the places where runs begin.
std::uint64_t edges(std::uint64_t word, bool lastBit)
{
    return word ^ ((word << 1U) | (lastBit ? 1U : 0U));
}

/// Lengths of alternating runs, the first of indexes that are not in the set; nothing when a bitmap is as short.
std::optional<std::string> runs(const std::vector<std::uint64_t> &words, std::size_t size)
{
    const auto limit = (size + 7) / 8;
    std::string bytes;
    std::size_t start = 0;
    bool lastBit = false;
    for (std::size_t i = 0; i < words.size(); ++i) {
        for (auto word = edges(words[i], lastBit); word != 0; word &= word - 1) {
            const auto edge = i * WordBits + static_cast<std::size_t>(__builtin_ctzll(word));
            if (edge < size) {
                putNumber(bytes, edge - start);
                start = edge;
            }
        }
        lastBit = (words[i] >> (WordBits - 1)) != 0;
        if (bytes.size() >= limit) {
            return std::nullopt;
        }
    }
    putNumber(bytes, size - start);
    return bytes.size() < limit ? std::optional(bytes) : std::nullopt;
}

std::string bitmap(const std::vector<std::uint64_t> &words, std::size_t size)
{
    std::string bytes((size + 7) / 8, '\0');
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        bytes[i] = static_cast<char>((words[i / 8] >> (i % 8 * 8)) & 255U);
    }
    return bytes;
}

/// Sets the bits in [from, to).
void setBits(std::vector<std::uint64_t> &words, std::uint64_t from, std::uint64_t to)
{
    while (from < to) {
        const auto bit = from % WordBits;
        const auto n = std::min<std::uint64_t>(WordBits - bit, to - from);
        words[from / WordBits] |= (n == WordBits ? ~std::uint64_t{0} : (std::uint64_t{1} << n) - 1) << bit;
        from += n;
    }
}

bool readRuns(std::string_view bytes, std::size_t size, std::vector<std::uint64_t> &words)
{
    std::uint64_t index = 0;
    for (bool inSet = false; !bytes.empty(); inSet = !inSet) {
        const auto length = takeNumber(bytes);
        if (!length || *length > size - index) {
            return false;
        }
        if (inSet) {
            setBits(words, index, index + *length);
        }
        index += *length;
    }
    return index == size;
}

bool readBitmap(std::string_view bytes, std::size_t size, std::vector<std::uint64_t> &words)
{
    if (bytes.size() != (size + 7) / 8) {
        return false;
    }
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        words[i / 8] |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (i % 8 * 8);
    }
    return true;
}

Error cursorInvalid(const char *message)
{
    return {ResultCode::CursorInvalid, message};
}

}

SampleCursor::SampleCursor(std::size_t size)
    : m_size(size)
    , m_words((size + Internal::WordBits - 1) / Internal::WordBits)
{
}

void SampleCursor::insert(std::uint32_t index)
{
    m_count += contains(index) ? 0 : 1;
    m_words[index / Internal::WordBits] |= std::uint64_t{1} << (index % Internal::WordBits);
}

void SampleCursor::erase(std::uint32_t index)
{
    m_count -= contains(index) ? 1 : 0;
    m_words[index / Internal::WordBits] &= ~(std::uint64_t{1} << (index % Internal::WordBits));
}

bool SampleCursor::contains(std::uint32_t index) const
{
    return index < m_size && (m_words[index / Internal::WordBits] >> (index % Internal::WordBits) & 1U) != 0;
}

std::size_t SampleCursor::count() const
{
    return m_count;
}

std::size_t SampleCursor::size() const
{
    return m_size;
}

void SampleCursor::unite(const SampleCursor &other)
{
    other.forEachMissingIn(*this, [this](std::uint32_t index) { insert(index); });
}

void SampleCursor::forEachMissingIn(const SampleCursor &other, const std::function<void(std::uint32_t)> &visit) const
{
    for (std::size_t i = 0; i < m_words.size(); ++i) {
        for (auto word = m_words[i] & ~other.m_words[i]; word != 0; word &= word - 1) {
            visit(static_cast<std::uint32_t>(i * Internal::WordBits) + static_cast<std::uint32_t>(__builtin_ctzll(word)));
        }
    }
}

std::string SampleCursor::encode(std::string_view stepId) const
{
    const auto asRuns = Internal::runs(m_words, m_size);
    std::string bytes(1, asRuns ? Internal::RunsForm : Internal::BitmapForm);
    Internal::putNumber(bytes, m_size);
    bytes += asRuns ? *asRuns : Internal::bitmap(m_words, m_size);
    bytes += Internal::checksum(bytes, stepId);
    return Internal::toBase64Url(bytes);
}

Result<SampleCursor> SampleCursor::decode(std::string_view text, std::string_view stepId, std::size_t size)
{
    const auto bytes = Internal::fromBase64Url(text);
    if (!bytes || bytes->size() <= Internal::ChecksumBytes) {
        return Internal::cursorInvalid("the cursor is not well-formed");
    }
    std::string_view payload(*bytes);
    payload.remove_suffix(Internal::ChecksumBytes);
    if (std::string_view(*bytes).substr(payload.size()) != Internal::checksum(payload, stepId)) {
        return Internal::cursorInvalid("the cursor was altered or belongs to another step");
    }
    const char form = payload.front();
    payload.remove_prefix(1);
    if (Internal::takeNumber(payload) != size) {
        return Internal::cursorInvalid("the cursor belongs to a step of another size");
    }
    std::vector<std::uint64_t> words((size + Internal::WordBits - 1) / Internal::WordBits);
    const bool read =
        form == Internal::RunsForm ? Internal::readRuns(payload, size, words) : form == Internal::BitmapForm && Internal::readBitmap(payload, size, words);
    if (!read) {
        return Internal::cursorInvalid("the cursor holds no valid set");
    }
    return fromWords(std::move(words), size);
}

Result<SampleCursor> SampleCursor::fromWords(std::vector<std::uint64_t> words, std::size_t size)
{
    if (size % Internal::WordBits != 0 && words.back() >> (size % Internal::WordBits) != 0) {
        return Internal::cursorInvalid("the cursor holds a sample that the step does not have");
    }
    SampleCursor cursor;
    cursor.m_size = size;
    cursor.m_words = std::move(words);
    for (const auto word : cursor.m_words) {
        cursor.m_count += static_cast<std::size_t>(__builtin_popcountll(word));
    }
    return cursor;
}

bool operator==(const SampleCursor &a, const SampleCursor &b)
{
    return a.m_size == b.m_size && a.m_words == b.m_words;
}

}
