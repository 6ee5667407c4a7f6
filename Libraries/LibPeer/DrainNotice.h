#pragma once

#include <chrono>

namespace lycheeseam {

/// Announces that the sender is leaving: callers no longer get its address.
struct drain_notice
{
  /// How long it still accepts callers that have its address already.
  std::chrono::milliseconds mAcceptsFor{ 0 };

  bool operator==(drain_notice const&) const = default;
};

}
