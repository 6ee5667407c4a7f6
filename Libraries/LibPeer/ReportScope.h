#pragma once

#include <cstdint>

namespace lycheeseam {

/// Whom a report speaks for, and so where its sender stands to its receiver.
/// A branch is an instance with all those that report through it.
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
