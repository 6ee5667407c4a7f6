#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/SlotHolder.h>

namespace lycheeseam {

/// How long a slot accrues no tokens after its former holders have released it:
/// until all their loans have expired.
duration
OpeningWait(slot_holder const& aHolder,
            instance_identity const& aSelf,
            budget_timing const& aTiming);

}
