#include <LibGateway/RunLimits.h>

#include <chrono>

namespace lycheeseam {

namespace {

// An attempt that gets less time than this can't succeed.
constexpr std::chrono::milliseconds kLeastTime{ 10 };

// Waiting for a place is free of harm up to this part of the target.
constexpr int kPlaceWaitPart = 8;

// A request that no server has run may go to this many beyond its route's
// attempts: servers that refuse it don't count as attempts.
constexpr std::uint32_t kExtraSends = 2;

}

bool
IsTooLate(admitted_request const& aRows, instant aNow)
{
  return aRows.mDeadline - aNow < kLeastTime;
}

bool
MayRepeat(admitted_request const& aRows, run_trace const& aTrace, instant aNow)
{
  return aRows.mRoute->MayRetry() &&
         aTrace.mSends < aRows.mRoute->mMaxAttempts &&
         aRows.mDeadline - aNow > kLeastTime;
}

bool
MaySendElsewhere(admitted_request const& aRows, run_trace const& aTrace)
{
  return aTrace.mSends < aRows.mRoute->mMaxAttempts + kExtraSends;
}

bool
MayWaitForPlace(admitted_request const& aRows,
                run_trace const& aTrace,
                instant aNow)
{
  return aNow - aTrace.mStartedAt <=
         aRows.mRoute->mTargetLatency / kPlaceWaitPart;
}

}
