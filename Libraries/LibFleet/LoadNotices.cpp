#include <LibFleet/ConvertEach.h>
#include <LibFleet/LoadNotices.h>
#include <LibFleet/ServerLoads.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>

namespace lycheeseam {

namespace {

constexpr double kPercent = 100;

std::uint16_t
Clamped(double aValue, double aLowest = 0)
{
  constexpr double kHighest = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
    std::lround(std::clamp(aValue, aLowest, kHighest)));
}

// The newest observation of each server.
std::vector<observed_load>
NewestOfEach(std::span<observed_load const> aObserved)
{
  server_loads newest;
  newest.Merge(aObserved);
  return newest.List();
}

}

std::vector<load_notice>
MakeLoadNotices(instant aNow, std::span<observed_load const> aObserved)
{
  std::vector<observed_load> newest = NewestOfEach(aObserved);
  std::erase_if(newest, [aNow](observed_load const& aLoad) {
    return !aLoad.mLoad.mSlowdown ||
           aNow - aLoad.mLoad.mReportedAt > load_rule::kKeptTime;
  });
  std::stable_sort(newest.begin(),
                   newest.end(),
                   [](observed_load const& aFirst, observed_load const& aNext) {
                     return aFirst.mLoad.mReportedAt > aNext.mLoad.mReportedAt;
                   });
  newest.resize(std::min(newest.size(), kMaxLoadNotices));
  return ConvertEach<load_notice>(
    std::span<observed_load const>{ newest },
    [aNow](observed_load const& aLoad) {
      std::chrono::duration<double, std::milli> const age =
        aNow - aLoad.mLoad.mReportedAt;
      return load_notice{ .mServer = aLoad.mServer,
                          .mRunning = Clamped(aLoad.mLoad.mRunning),
                          .mWaiting = Clamped(aLoad.mLoad.mWaiting),
                          .mSlowdownPercent =
                            Clamped(*aLoad.mLoad.mSlowdown * kPercent, 1),
                          .mAgeMs = Clamped(age.count()) };
    });
}

std::vector<observed_load>
ReadLoadNotices(instant aNow, std::span<load_notice const> aNotices)
{
  return ConvertEach<observed_load>(
    aNotices, [aNow](load_notice const& aNotice) {
      return observed_load{
        .mServer = aNotice.mServer,
        .mLoad = { .mRunning = aNotice.mRunning,
                   .mWaiting = aNotice.mWaiting,
                   .mSlowdown = aNotice.mSlowdownPercent / kPercent,
                   .mReportedAt =
                     aNow - std::chrono::milliseconds{ aNotice.mAgeMs } }
      };
    });
}

}
