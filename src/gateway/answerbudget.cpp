#include "gateway/answerbudget.h"

namespace Basilbend
{

bool AnswerBudget::grow(std::size_t heldBytes, std::size_t growth)
{
    const auto size = heldBytes + growth;
    const bool hasRoom = m_heldBytes + growth <= MaxHeldBytes;
    if (size > MaxAnswerBytes || (size > SmallAnswerBytes && !hasRoom)) {
        return false;
    }
    m_heldBytes += growth;
    return true;
}

}
