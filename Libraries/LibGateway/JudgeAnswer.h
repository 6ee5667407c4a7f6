#pragma once

#include <LibGateway/AttemptOutcome.h>
#include <LibGateway/ServerAnswer.h>
#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// Decides the outcome of an attempt by its answer's head; never returns
/// Pending. aIsReplaceable is true when a server's failure may, or must, be
/// withheld from the caller.
attempt_outcome
JudgeAnswer(answer_head const& aHead,
            server_answer const& aAnswer,
            bool aIsReplaceable);

}
