#pragma once

namespace lycheeseam {

/// The state of an instance in the platform's list.
enum class instance_state
{
  Live,
  /// The instance finishes its requests, and gets no new ones once callers have
  /// seen this state.
  Leaving,
};

}
