#include "gateway/answerfault.h"

#include "gateway/answerlimits.h"
#include "gateway/responsereader.h"

namespace Kumquatpick {

std::optional<AnswerFault> answerFault(const beast::error_code& error)
{
    if (exceedsAnswerLimit(error))
        return AnswerFault::WithoutEnd;
    return isBrokenHead(error) ? std::optional(AnswerFault::Malformed) : std::nullopt;
}

std::string_view eventName(AnswerFault fault)
{
    return fault == AnswerFault::WithoutEnd ? "answer_without_end" : "answer_malformed";
}

std::string_view metricName(AnswerFault fault)
{
    return fault == AnswerFault::WithoutEnd ? "answers_without_end_total" : "answers_malformed_total";
}

} // namespace Kumquatpick
