#include "net/linereader.h"

namespace Basilbend
{

LineReader::LineReader(std::size_t maxLineBytes)
    : m_maxLineBytes(maxLineBytes)
{
}

bool LineReader::feed(std::string_view data, const LineCallback &callback)
{
    for (auto end = data.find('\n'); end != std::string_view::npos; end = data.find('\n')) {
        auto line = data.substr(0, end);
        std::string completeLine;
        if (!m_partial.empty()) {
            completeLine.swap(m_partial);
            completeLine.append(line);
            line = completeLine;
        }
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        data.remove_prefix(end + 1);
        if (!callback(line)) {
            return false;
        }
    }
    m_partial.append(data);
    return m_partial.size() <= m_maxLineBytes;
}

}
