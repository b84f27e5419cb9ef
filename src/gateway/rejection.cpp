#include "gateway/rejection.h"

#include "platform/clientrequest.h"

#include <nlohmann/json.hpp>

namespace Basilbend
{

ResponseMessage makeRejection(int status, const Error &error, const std::string &attemptId)
{
    const nlohmann::json body = {{"code", static_cast<int>(error.code)}, {"name", std::string(resultCodeName(error.code))}, {"message", error.message}};
    // The message may quote a text of the client.
    auto text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    ResponseMessage response{status, {{"Content-Type", "application/json"}}, std::move(text)};
    if (error.retryAfter.count() > 0) {
        const auto field = retryAfterField(error.retryAfter);
        response.fields.add(field.name, field.value);
    }
    if (!attemptId.empty()) {
        const auto field = attemptIdField(attemptId);
        response.fields.add(field.name, field.value);
    }
    return response;
}

}
