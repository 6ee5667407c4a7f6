#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam::standin {

/// Limits the rate at which downloads of weights start, per window of one
/// second.
class weight_store
{
public:
  /// Returns whether one more download may start now, and counts it if so.
  bool TryTake(std::uint32_t aPerSecond, instant aNow);

private:
  instant mWindow{};
  std::uint32_t mTaken = 0;
};

}
