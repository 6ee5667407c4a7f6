#include <LibDispatch/SpeedSample.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

double
speed_sample::Pace() const
{
  if (mTokens <= 0 || mFirstEvent <= duration{} || mSlowdown <= 0)
    return 0;
  // The server reads the prompts that wait before this one.
  double const tokens =
    static_cast<double>(mTokens) + std::max(0.0, mWaitingTokens);
  return std::chrono::duration<double>(mFirstEvent).count() / tokens /
         mSlowdown;
}

}
