#include <LibDispatch/TrackedServer.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheeseam {

namespace {

// Requests run for about a second, so an older report counts requests that have
// ended since.
constexpr duration kLoadLifetime = std::chrono::seconds{ 1 };

// When a slot of a server that has none may be free.
constexpr std::chrono::milliseconds kSlotWait{ 100 };

// Weight of the newest request in the moving average of request sizes.
constexpr double kAverageWeight = 0.1;

}

instant
tracked_server::NextSendAt(instant aNow) const
{
  instant const next = std::max(mPausedUntil, mLimit.NextSendAt(aNow));
  bool const mayReject = mRejections.IsInForce(aNow) &&
                         EstimatedRequests(aNow) >= mRegistered.mSlots;
  return mayReject ? std::max(next, aNow + kSlotWait) : next;
}

std::uint32_t
tracked_server::EstimatedRequests(instant aNow) const
{
  return mInFlight +
         static_cast<std::uint32_t>(std::lround(OthersRequests(aNow)));
}

double
tracked_server::OthersRequests(instant aNow) const
{
  if (!mLoad)
    return 0;
  std::uint32_t const reported = mLoad->mRunning + mLoad->mWaiting;
  std::uint32_t const others = reported - std::min(reported, mInFlightAtLoad);
  return LoadWeight(aNow) * others;
}

// What runs or waits at the time of a report ends gradually. If it counted in
// full until the report expires, all instances would take the server for idle,
// and send to it, at the same moment. Only servers whose pool is placed by
// estimates report a slowdown.
double
tracked_server::LoadWeight(instant aNow) const
{
  if (!mLoad || aNow - mLoad->mReportedAt > kLoadLifetime)
    return 0;
  if (!mLoad->mSlowdown)
    return 1;
  std::chrono::duration<double> const age = aNow - mLoad->mReportedAt;
  std::chrono::duration<double> const lifetime = kLoadLifetime;
  return 1 - std::max(0.0, age / lifetime);
}

void
tracked_server::OnLoad(reported_load const& aLoad)
{
  mLoad = aLoad;
  mInFlightAtLoad =
    mInFlight - std::min(mInFlight, mStarts.CountAfter(aLoad.mReportedAt));
}

void
tracked_server::OnPeerLoad(reported_load const& aLoad)
{
  if (!mLoad || mLoad->mReportedAt < aLoad.mReportedAt)
    OnLoad(aLoad);
}

bool
tracked_server::HasReportedSlowdown(instant aNow, duration aAge) const
{
  return mLoad && mLoad->mSlowdown && aNow - mLoad->mReportedAt <= aAge;
}

void
tracked_server::OnStart(instant aNow, token_count aTokens)
{
  mLimit.OnSend(aNow);
  mSent += 1;
  mStarts.Add(aNow);
  mInFlight += 1;
  mInFlightTokens += aTokens;
  mAverageTokens +=
    kAverageWeight * (static_cast<double>(aTokens) - mAverageTokens);
}

void
tracked_server::OnEnd(token_count aTokens)
{
  mInFlight -= 1;
  mInFlightTokens -= aTokens;
}

load_estimate
tracked_server::Estimate(instant aNow) const
{
  double const others = OthersRequests(aNow);
  load_estimate estimate{ .mRequests = mInFlight + others,
                          .mTokens = static_cast<double>(mInFlightTokens) +
                                     others * mAverageTokens,
                          .mSpeed = mSpeed.Relative() };
  if (!mLoad || aNow - mLoad->mReportedAt > kLoadLifetime)
    return estimate;
  estimate.mWaiting = LoadWeight(aNow) * mLoad->mWaiting;
  estimate.mSlowdown = mLoad->mSlowdown.value_or(1);
  estimate.mAge = aNow - mLoad->mReportedAt;
  return estimate;
}

double
tracked_server::Pressure(instant aNow) const
{
  load_estimate const estimate = Estimate(aNow);
  double const slots =
    estimate.mRequests / std::max<std::uint32_t>(1, mRegistered.mSlots);
  if (mMemoryTokens <= 0)
    return slots;
  return std::max(slots, estimate.mTokens / static_cast<double>(mMemoryTokens));
}

}
