#include <LibRollout/EvidenceTest.h>
#include <LibRollout/PoissonTail.h>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {
namespace {

// A judge makes some thousand tests of each kind in the course of a rollout,
// most of them on nearly the same data. At these levels all of them together
// find a good version bad in fewer than one of 100 rollouts.
constexpr double kFailureLevel = 1e-5;
constexpr double kTimeLevel = 1e-6;
// The other software's rates are measured too, and its servers differ.
constexpr double kFailureMargin = 1.5;
constexpr double kTimeMargin = 1.25;
// Rates below these aren't told from none, since a single event of the
// environment may cause as many.
constexpr double kLeastFailureRate = 0.01;
constexpr double kLeastSlowRate = 0.02;
constexpr double kLeastBad = 5;
// Fewer answers of the other software say nothing about its rates.
constexpr std::uint64_t kLeastReference = 10;
// A machine that is slow for half a second delays all of its answers in that
// time, so slow answers must come in more slices than that.
constexpr std::size_t kLeastSlowSlices = 3;
// Buckets are a factor of the square root of 2. A target that takes a little
// more load is up to twice as slow; the first events of another time may be
// from a time of less load.
constexpr std::size_t kSlowBuckets = 2;
constexpr std::size_t kSlowBucketsOtherTime = 3;

struct answer_count
{
  std::uint64_t mAll = 0;
  std::uint64_t mBad = 0;
};

struct comparison
{
  double mBad = 0;
  double mExpected = 0;
  std::size_t mSlicesWithBad = 0;

  void Add(answer_count const& aTarget,
           answer_count const& aOthers,
           double aMargin,
           double aLeastRate)
  {
    if (aTarget.mAll == 0 || aOthers.mAll < kLeastReference)
      return;
    double const rate = aMargin * static_cast<double>(aOthers.mBad + 1) /
                        static_cast<double>(aOthers.mAll + 1);
    mBad += static_cast<double>(aTarget.mBad);
    mExpected +=
      static_cast<double>(aTarget.mAll) * std::clamp(rate, aLeastRate, 1.0);
    mSlicesWithBad += aTarget.mBad > 0 ? 1 : 0;
  }

  [[nodiscard]] bool IsWorse(double aLevel) const
  {
    return mBad >= kLeastBad && PoissonTail(mExpected, mBad) < aLevel;
  }
};

rollout_verdict
BadVerdict(rollout_reason aReason, comparison const& aComparison)
{
  return { .mKind = verdict_kind::Bad,
           .mReason = aReason,
           .mBad = aComparison.mBad,
           .mExpected = aComparison.mExpected };
}

// If the target were at most twice as slow, then for each time its answers
// would exceed twice that time no more often than the others' exceed it. This
// finds a version of which all answers are slower and one of which a part is.
template<typename HistogramOf>
requires std::regular_invocable<HistogramOf const&, rollout_sample const&>
  rollout_verdict
  TestTimes(std::span<slice_pair const> aPairs,
            rollout_reason aReason,
            HistogramOf const& aHistogramOf)
{
  constexpr std::size_t kLastBound =
    log_histogram::kBuckets - kSlowBucketsOtherTime;
  for (std::size_t bound = 1; bound < kLastBound; ++bound) {
    comparison result;
    for (slice_pair const& pair : aPairs) {
      std::size_t const slowBound =
        bound + (pair.mIsSameTime ? kSlowBuckets : kSlowBucketsOtherTime);
      log_histogram const& target = aHistogramOf(pair.mTarget);
      log_histogram const& others = aHistogramOf(pair.mOthers);
      result.Add({ target.Total(), target.AtLeast(slowBound) },
                 { others.Total(), others.AtLeast(bound) },
                 kTimeMargin,
                 kLeastSlowRate);
    }
    if (result.mSlicesWithBad >= kLeastSlowSlices && result.IsWorse(kTimeLevel))
      return BadVerdict(aReason, result);
  }
  return {};
}

}

rollout_verdict
TestFailures(std::span<slice_pair const> aPairs)
{
  comparison result;
  for (slice_pair const& pair : aPairs) {
    result.Add({ pair.mTarget.mAnswers, pair.mTarget.mFailures },
               { pair.mOthers.mAnswers, pair.mOthers.mFailures },
               kFailureMargin,
               kLeastFailureRate);
  }
  if (result.IsWorse(kFailureLevel))
    return BadVerdict(rollout_reason::Failures, result);
  return {};
}

rollout_verdict
TestFirstEvents(std::span<slice_pair const> aPairs)
{
  for (std::size_t size = 0; size < rollout_sample::kSizeClasses; ++size) {
    auto const histogramOf =
      [size](rollout_sample const& aSample) -> log_histogram const& {
      return aSample.mFirstEvent.at(size);
    };
    rollout_verdict const verdict =
      TestTimes(aPairs, rollout_reason::SlowFirstEvent, histogramOf);
    if (verdict.mKind == verdict_kind::Bad)
      return verdict;
  }
  return {};
}

rollout_verdict
TestPauses(std::span<slice_pair const> aPairs)
{
  auto const histogramOf =
    [](rollout_sample const& aSample) -> log_histogram const& {
    return aSample.mLongestPause;
  };
  return TestTimes(aPairs, rollout_reason::SlowEvents, histogramOf);
}

}
