#include "scheduling/resumabletextcache.h"

namespace Basilbend
{

void ResumableTextCache::add(std::vector<ResumableText> texts)
{
    for (auto &text : texts) {
        m_bytes += text.text.bytes();
        m_texts.push_back(std::move(text));
    }
    while (m_bytes > MaxBytes || m_texts.size() > MaxTexts) {
        m_bytes -= m_texts.front().text.bytes();
        m_texts.pop_front();
    }
}

void ResumableTextCache::clear()
{
    m_texts.clear();
    m_bytes = 0;
}

}
