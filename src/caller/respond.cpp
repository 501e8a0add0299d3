#include "caller/respond.h"

namespace Kumquatpick {

void writeRefusal(const Refusal& refusal, std::string_view requestId, httplib::Response& response)
{
    response.headers.erase("Kumquatpick-Outcome");
    response.set_header("Kumquatpick-Outcome", std::string(name(refusal.outcome)));
    if (refusal.retryAfter)
        response.set_header("Retry-After", std::to_string(retryAfterSeconds(*refusal.retryAfter)));
    response.status = httpStatus(refusal);
    response.set_content(refusalBody(refusal, requestId), "application/json");
}

} // namespace Kumquatpick
