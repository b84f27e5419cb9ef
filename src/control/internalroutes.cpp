#include "control/internalroutes.h"

namespace Basilbend
{

void InternalRoutes::add(std::string prefix, InternalHandler handler)
{
    m_handlers[std::move(prefix)] = std::move(handler);
}

const InternalHandler *InternalRoutes::find(const std::string &path) const
{
    const InternalHandler *best = nullptr;
    for (const auto &[prefix, handler] : m_handlers) {
        // Prefixes are sorted, so a later match is a longer one.
        if (path.compare(0, prefix.size(), prefix) == 0) {
            best = &handler;
        }
    }
    return best;
}

}
