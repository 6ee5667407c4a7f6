#pragma once

#include <LibCore/InstanceLife.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/SlotHolder.h>

namespace lycheeseam {

/// How long a slot that its former holders have let go accrues nothing: until
/// every loan that they gave has lapsed.
duration
OpeningWait(slot_holder const& aHolder,
            instance_life const& aSelf,
            budget_timing const& aTiming);

}
