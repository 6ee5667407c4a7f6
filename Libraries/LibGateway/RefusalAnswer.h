#pragma once

#include <LibGateway/RefusalStatus.h>
#include <LibHttp/AnswerHead.h>

#include <chrono>

namespace lycheeseam {

/// The head of a refusal, which has no body. An aRetryAfter of 0 omits the
/// Retry-After field.
answer_head
RefusalHead(refusal_status aStatus, std::chrono::milliseconds aRetryAfter);

}
