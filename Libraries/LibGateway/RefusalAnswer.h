#pragma once

#include <LibGateway/RefusalStatus.h>
#include <LibHttp/AnswerHead.h>

#include <chrono>

namespace lycheeseam {

/// The head of a refusal; it has no body. A wait of 0 gives no Retry-After.
answer_head
RefusalHead(refusal_status aStatus, std::chrono::milliseconds aRetryAfter);

}
