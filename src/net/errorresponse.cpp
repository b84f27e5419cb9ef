#include "net/errorresponse.h"

#include "net/attemptline.h"

namespace Basilbend
{

HttpResponse errorResponse(const Error &error)
{
    return {httpStatus(error.code), errorBody(error), "application/json", {}};
}

}
