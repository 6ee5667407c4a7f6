#pragma once

#include <LibCore/Verdict.h>
#include <LibOnce/AttemptHistory.h>
#include <LibOnce/RetryTarget.h>

namespace lycheeseam {

/// Returns where a request may be retried after a failed attempt.
///
/// A non-idempotent request is retried only when no byte of any attempt was
/// sent. An idempotent request is retried once after an attempt that may have
/// run, and in the same failure domain, so that a request that crashes servers
/// does not reach a second failure domain. No request is retried after three
/// attempts of which no byte was sent.
retry_target
RetryTargetFor(attempt_history const& aHistory);

/// Returns whether the request may have run, after a failed attempt.
verdict
VerdictFor(attempt_history const& aHistory);

}
