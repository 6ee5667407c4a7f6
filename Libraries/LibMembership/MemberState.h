#pragma once

namespace lycheeseam {

/// Whether an instance stays.
enum class member_state
{
  Live,
  /// Finishes what it has; callers are no longer told of it.
  Leaving,
};

}
