#include <LibEvents/EventRateLimit.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam {

bool
event_rate_limit::TryTake(instant aNow)
{
  double const seconds =
    std::chrono::duration<double>(aNow - mFilledAt).count();
  mFilledAt = aNow;
  mLevel = std::min(mBurst, mLevel + seconds * mRate);
  if (mLevel < 1.0) {
    ++mDropped;
    return false;
  }
  mLevel -= 1.0;
  return true;
}

std::uint64_t
event_rate_limit::TakeDropped()
{
  return std::exchange(mDropped, 0);
}

}
