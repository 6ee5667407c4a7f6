#pragma once

namespace lycheeseam {

/// What a scenario does to a relay.
enum class relay_action
{
  Cut,
  Heal,
  Reset,
  LoseNextAnswer,
};

}
