#pragma once

#include <LibLimits/ChargeResult.h>
#include <LibOnce/OnceAction.h>
#include <LibRequest/Refusal.h>
#include <LibUpstream/UpstreamEnd.h>

/// \file The errors that callers get when a stage refuses their request.

namespace lycheeseam {

/// The workspace's budget did not admit the charge.
refusal
RefusalFor(charge_result aResult);

/// The claim in the log does not allow the request to run.
refusal
RefusalFor(once_action aAction);

/// The attempt brought no complete answer.
refusal
RefusalFor(upstream_end const& aEnd);

/// Too many requests are queued for the pool, of the workspace or in total.
refusal
OverloadRefusal();

/// No backend server had capacity before the request's queue deadline.
refusal
QueueDeadlineRefusal();

/// No backend server of the pool can take the request.
refusal
NoServerRefusal();

/// The instance's state is too old: it may not know of withdrawn keys.
refusal
NotConfirmedRefusal();

/// The instance is near the end of a planned stop.
refusal
ShuttingDownRefusal();

/// Two backend servers crashed while they ran this request.
refusal
PoisonRefusal();

}
