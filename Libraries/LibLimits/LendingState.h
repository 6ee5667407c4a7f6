#pragma once

namespace lycheeseam {

/// Whether a holder may lend from its slots now; see lending_quorum.
enum class lending_state
{
  Granted,
  Withheld,
};

}
