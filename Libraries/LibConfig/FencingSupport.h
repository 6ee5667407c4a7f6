#pragma once

namespace lycheeseam {

/// Whether a backend server checks who gives it an order.
enum class fencing_support
{
  /// Refuses an order whose fencing number is older than one it has seen.
  Checked,
  /// Carries out any order.
  Ignored,
};

}
