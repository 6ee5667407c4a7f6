#pragma once

#include <cstdint>

namespace lycheeseam {

/// The instances that a report covers, and so the sender's position in the
/// reporting tree relative to the receiver. A branch is an instance with all
/// instances that report through it.
enum class report_scope : std::uint8_t
{
  /// The sender's branch, from one root to another.
  Root,
  /// The sender's branch, to its parent.
  Branch,
  /// All but the receiver's branch, from its parent.
  Rest,
};

}
