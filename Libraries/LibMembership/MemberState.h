#pragma once

namespace lycheeseam {

/// Whether an instance or a backend server is shutting down.
enum class member_state
{
  Live,
  /// Finishes its open requests and is no longer offered for new ones.
  Leaving,
};

}
