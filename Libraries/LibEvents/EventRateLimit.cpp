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
  mTokens = std::min(mBurst, mTokens + seconds * mRate);
  if (mTokens < 1.0) {
    ++mDropped;
    return false;
  }
  mTokens -= 1.0;
  return true;
}

std::uint64_t
event_rate_limit::TakeDropped()
{
  return std::exchange(mDropped, 0);
}

}
