#pragma once

namespace lycheeseam {

/// Whether a holder may lend from its slots now; see home_standing.
enum class lending_state
{
  Granted,
  Withheld,
};

}
