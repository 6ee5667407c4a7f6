#pragma once

namespace lycheeseam {

/// What the platform's list says of an instance.
enum class instance_state
{
  Live,
  /// Finishes what it has and takes nothing new once callers know.
  Leaving,
};

}
