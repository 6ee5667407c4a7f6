#pragma once

namespace lycheeseam {

/// Whether a backend server checks the fencing number of an order.
enum class fencing_support
{
  /// The server refuses an order whose fencing number is lower than the highest
  /// one that it has received.
  Checked,
  /// The server carries out every order.
  Ignored,
};

}
