#include <LibDispatch/CrashTracker.h>

#include <chrono>

namespace lycheeseam {

namespace {

// Two servers may crash by coincidence while one request runs; a third crash
// marks the request as their cause.
constexpr std::uint32_t kPoisonCrashes = 3;

// How long a count is kept after the latest crash. Callers repeat a request
// that crashes servers within minutes.
constexpr duration kCrashLifetime = std::chrono::minutes{ 2 };

}

void
crash_tracker::OnCrash(instant aNow, fingerprint aRequest, std::uint32_t aCount)
{
  record& found = mCrashes[aRequest];
  found.mCount += aCount;
  found.mLastAt = aNow;
}

bool
crash_tracker::IsPoison(instant aNow, fingerprint aRequest) const
{
  auto const found = mCrashes.find(aRequest);
  return found != mCrashes.end() && found->second.mCount >= kPoisonCrashes &&
         aNow - found->second.mLastAt < kCrashLifetime;
}

void
crash_tracker::Prune(instant aNow)
{
  std::erase_if(mCrashes, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mLastAt >= kCrashLifetime;
  });
}

}
