#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// When an instance appends a checkpoint.
struct checkpoint_options
{
  /// How far the newest checkpoint may lag behind the applied offset, in
  /// offsets.
  std::uint64_t mInterval = 2000;
  /// How old the newest checkpoint may be; retention drops records of an idle
  /// log too.
  std::chrono::milliseconds mLongestAge{ 600'000 };
  /// The longest random delay before an append. It spreads the instances, so
  /// that mostly one of them appends.
  std::chrono::milliseconds mSpread{ 5000 };
};

}
