#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/RolloutOrder.h>

namespace lycheeseam {

/// An order for a rollout, and when this instance learned of it.
struct known_order
{
  rollout_order mOrder;
  instant mLearnedAt{};
};

}
