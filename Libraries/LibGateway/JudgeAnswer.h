#pragma once

#include <LibGateway/AttemptOutcome.h>
#include <LibGateway/ServerAnswer.h>
#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// What an answer's head decides about its attempt; never Open. aIsReplaceable
/// says whether a server's failure may or must be kept from the caller.
attempt_outcome
JudgeAnswer(answer_head const& aHead,
            server_answer const& aAnswer,
            bool aIsReplaceable);

}
