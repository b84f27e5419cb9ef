#include "metadata/metadatastore.h"

namespace Basilbend
{

std::string_view metadataStatusName(MetadataStatus status)
{
    switch (status) {
    case MetadataStatus::Done:
        return "done";
    case MetadataStatus::Conflict:
        return "conflict";
    case MetadataStatus::NotFound:
        return "not_found";
    case MetadataStatus::HistoryGone:
        return "history_gone";
    case MetadataStatus::Refused:
        return "refused";
    case MetadataStatus::Unknown:
        return "unknown";
    }
    return "unknown";
}

}
