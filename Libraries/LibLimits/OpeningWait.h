#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/SlotHolder.h>

namespace lycheeseam {

/// How long a slot that its former holders have let go accrues nothing: until
/// every loan that they gave has lapsed.
duration
OpeningWait(slot_holder const& aHolder,
            instance_identity const& aSelf,
            budget_timing const& aTiming);

}
