#pragma once

#include <LibCore/Identifiers.h>
#include <LibRollout/LogHistogram.h>
#include <LibRollout/RolloutSide.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// What one instance observed for one order, route and side since its last
/// report.
struct rollout_sample
{
  /// Classes of how many tokens the server has to read before the first event,
  /// without those that are cached there; class 0 is for plain requests too.
  static constexpr std::size_t kSizeClasses = 3;
  /// The class of a request by the tokens to be read.
  [[nodiscard]] static constexpr std::size_t SizeClassOf(std::uint64_t aTokens)
  {
    if (aTokens < 1500)
      return 0;
    return aTokens < 5000 ? 1 : 2;
  }

  /// The number of the order.
  std::uint64_t mOrder = 0;
  route_name mRoute;
  rollout_side mSide = rollout_side::Target;
  /// All answers, failures included.
  std::uint32_t mAnswers = 0;
  /// Answers that failed by the server's fault. Refusals that say the request
  /// has not run for lack of room, and failures of the path, are not counted.
  std::uint32_t mFailures = 0;
  /// Time to the first event, by size class. A time-out counts with the time
  /// waited.
  std::array<log_histogram, kSizeClasses> mFirstEvent{};
  /// The longest pause between events of a stream.
  log_histogram mLongestPause;
  /// How long the servers were at work on these answers, added up.
  duration mRunTime{};

  bool operator==(rollout_sample const&) const = default;

  /// True when both are about the same order, route and side.
  [[nodiscard]] bool HasKeyOf(rollout_sample const& aOther) const
  {
    return mOrder == aOther.mOrder && mRoute == aOther.mRoute &&
           mSide == aOther.mSide;
  }

  /// Adds the counts of a sample with the same key.
  rollout_sample& operator+=(rollout_sample const& aOther);
};

}
