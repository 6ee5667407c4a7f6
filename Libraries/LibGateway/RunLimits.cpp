#include <LibGateway/RunLimits.h>

#include <chrono>

namespace lycheeseam {

namespace {

// An attempt that gets less time than this can't succeed.
constexpr std::chrono::milliseconds kMinAttemptTime{ 10 };

// Waiting for capacity does no harm up to the route's target latency divided by
// this.
constexpr int kCapacityWaitDivisor = 8;

// A request that no server has run may be sent this many times beyond its
// route's attempts: a server that refuses it doesn't count as an attempt.
constexpr std::uint32_t kExtraSends = 2;

}

bool
IsTooLate(admitted_request const& aAdmitted, instant aNow)
{
  return aAdmitted.mDeadline - aNow < kMinAttemptTime;
}

bool
MayRetry(admitted_request const& aAdmitted,
         run_trace const& aTrace,
         instant aNow)
{
  return aAdmitted.mRoute->MayRetry() &&
         aTrace.mSends < aAdmitted.mRoute->mMaxAttempts &&
         aAdmitted.mDeadline - aNow > kMinAttemptTime;
}

bool
MayTryAnotherServer(admitted_request const& aAdmitted, run_trace const& aTrace)
{
  return aTrace.mSends < aAdmitted.mRoute->mMaxAttempts + kExtraSends;
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
