#include <LibGateway/RunLimits.h>

#include <chrono>

namespace lycheeseam {

namespace {

// An attempt that gets less time than this can't succeed.
constexpr std::chrono::milliseconds kMinAttemptTime{ 10 };

// Waiting for capacity does no harm up to the route's target latency divided by
// this.
constexpr int kCapacityWaitDivisor = 8;

// A request that no server has run may reach this many servers beyond its
// route's attempts: a server that refuses it doesn't count as an attempt.
constexpr std::uint32_t kExtraArrivals = 2;

// Connections that fail cost a server nothing. While a third of a pool is down,
// six failures in a row are one in 700.
constexpr std::uint32_t kMaxUnreachable = 6;

}

bool
IsTooLate(admitted_request const& aAdmitted, instant aNow)
{
  return aAdmitted.mDeadline - aNow < kMinAttemptTime;
}

bool
MayRetry(admitted_request const& aAdmitted, std::uint32_t aRuns, instant aNow)
{
  return aAdmitted.mRoute->MayRetry() &&
         aRuns < aAdmitted.mRoute->mMaxAttempts &&
         aAdmitted.mDeadline - aNow > kMinAttemptTime;
}

bool
MayTryAnotherServer(admitted_request const& aAdmitted, run_trace const& aTrace)
{
  return aTrace.mArrivals < aAdmitted.mRoute->mMaxAttempts + kExtraArrivals &&
         aTrace.mSends - aTrace.mArrivals < kMaxUnreachable;
}

bool
MayWaitForCapacity(admitted_request const& aAdmitted,
                   run_trace const& aTrace,
                   instant aNow)
{
  return aNow - aTrace.mStartedAt <=
         aAdmitted.mRoute->mTargetLatency / kCapacityWaitDivisor;
}

}
