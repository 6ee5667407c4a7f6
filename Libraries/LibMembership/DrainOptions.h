#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// The spans of a planned stop.
struct drain_options
{
  /// How long callers keep an answer about addresses.
  duration mAddressTtl = std::chrono::seconds{ 10 };
  /// Until every instance has heard of the stop and answers without this one.
  duration mSpread = std::chrono::seconds{ 2 };
  /// How long open requests may take after that.
  duration mFinish = std::chrono::minutes{ 10 };
};

}
