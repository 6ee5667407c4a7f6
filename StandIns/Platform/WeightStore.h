#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam::standin {

/// The weight store's limit on its rate.
class weight_store
{
public:
  /// True when one more download may start now.
  bool TryTake(std::uint32_t aPerSecond, instant aNow);

private:
  instant mWindow{};
  std::uint32_t mTaken = 0;
};

}
