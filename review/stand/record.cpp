#include "stand/record.h"

#include "base/systemclock.h"

#include <iomanip>

namespace Basilbend::Review
{

Record::Record(const std::string &fileName)
    : m_file(fileName)
    , m_startedAt(systemNow())
{
}

Milliseconds Record::elapsed() const
{
    return systemNow() - m_startedAt;
}

void Record::add(const std::string &line)
{
    m_file << std::setw(6) << elapsed().count() << " " << line << "\n";
    m_file.flush();
}

}
