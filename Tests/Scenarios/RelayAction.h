#pragma once

namespace lycheeseam {

/// An action of a scenario on a relay.
enum class relay_action
{
  Cut,
  Heal,
  Reset,
  LoseNextAnswer,
};

}
