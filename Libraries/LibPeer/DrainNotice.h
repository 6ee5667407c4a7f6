#pragma once

#include <chrono>

namespace lycheeseam {

/// The sender is leaving: callers are no longer told of it.
struct drain_notice
{
  /// How long it still accepts callers who were told of it before.
  std::chrono::milliseconds mAcceptsFor{ 0 };

  bool operator==(drain_notice const&) const = default;
};

}
