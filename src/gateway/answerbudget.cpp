#include "gateway/answerbudget.h"

namespace Basilbend
{

bool AnswerBudget::reserve(std::size_t bufferedBytes, std::size_t growth)
{
    const auto size = bufferedBytes + growth;
    const bool hasCapacity = m_bufferedBytes + growth <= MaxBufferedBytes;
    if (size > MaxResponseBytes || (size > GuaranteedResponseBytes && !hasCapacity)) {
        return false;
    }
    m_bufferedBytes += growth;
    return true;
}

}
