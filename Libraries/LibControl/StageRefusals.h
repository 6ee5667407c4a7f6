#pragma once

#include <LibLimits/ChargeResult.h>
#include <LibOnce/OnceAction.h>
#include <LibRequest/Refusal.h>
#include <LibUpstream/UpstreamEnd.h>

/// \file What a caller is told when a stage stops its request.

namespace lycheeseam {

/// A charge that was not admitted.
refusal
RefusalFor(charge_result aResult);

/// A claim that does not let the request run.
refusal
RefusalFor(once_action aAction);

/// An attempt that gave no complete answer.
refusal
RefusalFor(upstream_end const& aEnd);

/// Too much waits for the request's pool.
refusal
OverloadRefusal();

/// No backend server had room before the request's deadline.
refusal
QueueDeadlineRefusal();

/// No backend server of the pool can take the request.
refusal
NoServerRefusal();

/// The instance may not know of withdrawn keys.
refusal
NotConfirmedRefusal();

/// The instance is near the end of a planned stop.
refusal
ShuttingDownRefusal();

/// The request has crashed two backend servers.
refusal
PoisonRefusal();

}
