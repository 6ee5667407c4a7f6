#pragma once

namespace lycheeseam {

/// What becomes of an engine's runs when it loads new weights.
enum class run_handling
{
  /// They end first; the load waits for them.
  Finish,
  /// They go on under the new weights; what they make from then on is worth
  /// nothing to their callers.
  Continue,
};

}
