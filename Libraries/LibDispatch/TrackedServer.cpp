#include <LibDispatch/TrackedServer.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// Requests run for about a second; an older report tells of other ones.
constexpr duration kLoadLifetime = std::chrono::seconds{ 1 };

// Of the newest request in the usual size.
constexpr double kUsualWeight = 0.1;

}

std::uint32_t
tracked_server::EstimatedRequests(instant aNow) const
{
  if (!mLoad || aNow - mLoad->mToldAt > kLoadLifetime)
    return mInFlight;
  std::uint32_t const told = mLoad->mRunning + mLoad->mWaiting;
  std::uint32_t const others = told - std::min(told, mInFlightAtLoad);
  return mInFlight + others;
}

void
tracked_server::OnStart(token_count aTokens)
{
  mInFlight += 1;
  mInFlightTokens += aTokens;
  mUsualTokens += kUsualWeight * (static_cast<double>(aTokens) - mUsualTokens);
}

void
tracked_server::OnEnd(token_count aTokens)
{
  mInFlight -= 1;
  mInFlightTokens -= aTokens;
}

double
tracked_server::Pressure(instant aNow) const
{
  std::uint32_t const requests = EstimatedRequests(aNow);
  double const slots = static_cast<double>(requests) /
                       std::max<std::uint32_t>(1, mRegistered.mSlots);
  if (mMemoryTokens <= 0)
    return slots;
  double const tokens = static_cast<double>(mInFlightTokens) +
                        (requests - mInFlight) * mUsualTokens;
  return std::max(slots, tokens / static_cast<double>(mMemoryTokens));
}

}
