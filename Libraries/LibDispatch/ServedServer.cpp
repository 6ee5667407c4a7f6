#include <LibDispatch/ServedServer.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// Requests run for about a second; an older report tells of other ones.
constexpr duration kLoadLifetime = std::chrono::seconds{ 1 };

}

std::uint32_t
served_server::EstimatedRequests(instant aNow) const
{
  if (!mLoad || aNow - mLoad->mToldAt > kLoadLifetime)
    return mInFlight;
  std::uint32_t const told = mLoad->mRunning + mLoad->mWaiting;
  std::uint32_t const others = told - std::min(told, mInFlightAtLoad);
  return mInFlight + others;
}

double
served_server::Pressure(instant aNow) const
{
  return static_cast<double>(EstimatedRequests(aNow)) /
         std::max<std::uint32_t>(1, mListed.mSlots);
}

}
