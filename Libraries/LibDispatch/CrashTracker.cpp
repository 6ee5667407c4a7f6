#include <LibDispatch/CrashTracker.h>

#include <chrono>

namespace lycheeseam {

namespace {

// Two servers may be lost by chance while one request runs; a third is a
// pattern.
constexpr std::uint32_t kCrashesOfPoison = 3;

// A caller that sends a crash-making request again does so within minutes.
constexpr duration kMemory = std::chrono::minutes{ 2 };

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
  return found != mCrashes.end() && found->second.mCount >= kCrashesOfPoison &&
         aNow - found->second.mLastAt < kMemory;
}

void
crash_tracker::Prune(instant aNow)
{
  std::erase_if(mCrashes, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mLastAt >= kMemory;
  });
}

}
