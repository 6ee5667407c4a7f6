#pragma once

#include <LibCore/Verdict.h>
#include <LibOnce/AttemptHistory.h>
#include <LibOnce/RetryTarget.h>

namespace lycheeseam {

/// Where a request may be tried again after a failed attempt.
///
/// Non-idempotent work only when no byte of any attempt was sent. Idempotent
/// work once after an attempt that may have crashed its server, and then in
/// the same failure domain, so that a request that crashes servers does not
/// reach a second domain at once.
retry_target
RetryTargetFor(attempt_history const& aHistory);

/// Whether the request may have run, after a failed attempt.
verdict
VerdictFor(attempt_history const& aHistory);

}
