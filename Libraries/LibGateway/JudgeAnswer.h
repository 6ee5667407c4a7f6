#pragma once

#include <LibGateway/AnswerUse.h>
#include <LibGateway/AttemptOutcome.h>
#include <LibGateway/ServerAnswer.h>
#include <LibHttp/AnswerHead.h>

namespace lycheeseam {

/// Decides the outcome of an attempt by its answer's head; never returns
/// Pending. aIsReplaceable is true when a server's failure is withheld from the
/// caller: the request may be sent again, or the caller has already been sent
/// the head of another answer.
attempt_outcome
JudgeAnswer(answer_head const& aHead,
            server_answer const& aAnswer,
            bool aIsReplaceable);

/// What is done with the rest of an answer whose attempt has this outcome.
answer_use
UseOfAnswer(attempt_outcome aOutcome);

}
