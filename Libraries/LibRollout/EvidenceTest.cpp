#include <LibRollout/BinomialTail.h>
#include <LibRollout/EvidenceTest.h>
#include <LibRollout/PoissonTail.h>

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {
namespace {

// A judge tests several thousand times in the course of a rollout, nearly
// always on nearly the same data, so that there are fewer than a hundred
// independent tests. The bounds below make each of them stricter still.
constexpr double kFailureLevel = 1e-4;
constexpr double kTimeLevel = 1e-4;
// The other software's rates are measured too, and its servers differ.
constexpr double kFailureMargin = 1.5;
constexpr double kTimeMargin = 1.25;
// Rates below these aren't told from none, since a single event of the
// environment may cause as many.
constexpr double kLeastFailureRate = 0.01;
constexpr double kLeastSlowRate = 0.02;
constexpr double kLeastFailures = 4;
constexpr double kLeastSlow = 5;
// Fewer answers of the other software say nothing about its rates.
constexpr std::uint64_t kLeastReference = 10;
// A machine that stops breaks its requests within one slice, and one that is
// slow for half a second delays all of its answers in that time.
constexpr std::size_t kLeastFailureSlices = 2;
constexpr std::size_t kLeastSlowSlices = 3;
// Four buckets are a factor of 2. A target that takes more load is up to twice
// as slow; the answers of another time may be from a time of less load.
constexpr std::size_t kSlowBuckets = 4;
constexpr std::size_t kSlowBucketsOtherTime = 5;
// The parts of the other software's answers beyond which answers are counted.
// The large ones find a version of which all answers are slower, the small ones
// a version of which a part is.
constexpr std::array<double, 4> kBeyond{ 0.02, 0.08, 0.25, 0.5 };

struct answer_count
{
  std::uint64_t mAll = 0;
  std::uint64_t mBad = 0;
};

struct comparison
{
  double mAll = 0;
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
    double const rate = aMargin * (static_cast<double>(aOthers.mBad) + 0.5) /
                        static_cast<double>(aOthers.mAll + 1);
    mAll += static_cast<double>(aTarget.mAll);
    mBad += static_cast<double>(aTarget.mBad);
    mExpected +=
      static_cast<double>(aTarget.mAll) * std::clamp(rate, aLeastRate, 1.0);
    mSlicesWithBad += aTarget.mBad > 0 ? 1 : 0;
  }

  [[nodiscard]] bool IsWorse(double aLevel) const
  {
    return std::min(PoissonTail(mExpected, mBad),
                    BinomialTail(mExpected, mAll, mBad)) < aLevel;
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

// If the target were at most twice as slow, its answers would take twice a time
// no more often than the others take that time. Sums over pairs of different
// times, routes and sizes, each with a bound of its own.
template<typename HistogramsOf>
requires std::regular_invocable<HistogramsOf const&, rollout_sample const&>
  rollout_verdict
  TestTimes(std::span<slice_pair const> aPairs,
            rollout_reason aReason,
            HistogramsOf const& aHistogramsOf)
{
  for (double const beyond : kBeyond) {
    comparison result;
    for (slice_pair const& pair : aPairs) {
      std::size_t const slower =
        pair.mIsSameTime ? kSlowBuckets : kSlowBucketsOtherTime;
      std::span<log_histogram const> const target = aHistogramsOf(pair.mTarget);
      std::span<log_histogram const> const others = aHistogramsOf(pair.mOthers);
      for (std::size_t i = 0; i < target.size(); ++i) {
        std::size_t const bound = others[i].BoundOf(beyond);
        result.Add({ target[i].Total(), target[i].AtLeast(bound + slower) },
                   { others[i].Total(), others[i].AtLeast(bound) },
                   kTimeMargin,
                   kLeastSlowRate);
      }
    }
    if (result.mBad >= kLeastSlow &&
        result.mSlicesWithBad >= kLeastSlowSlices && result.IsWorse(kTimeLevel))
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
  if (result.mBad >= kLeastFailures &&
      result.mSlicesWithBad >= kLeastFailureSlices &&
      result.IsWorse(kFailureLevel))
    return BadVerdict(rollout_reason::Failures, result);
  return {};
}

rollout_verdict
TestFirstEvents(std::span<slice_pair const> aPairs)
{
  auto const histogramsOf = [](rollout_sample const& aSample) {
    return std::span<log_histogram const>{ aSample.mFirstEvent };
  };
  return TestTimes(aPairs, rollout_reason::SlowFirstEvent, histogramsOf);
}

rollout_verdict
TestPauses(std::span<slice_pair const> aPairs)
{
  auto const histogramsOf = [](rollout_sample const& aSample) {
    return std::span<log_histogram const>{ &aSample.mLongestPause, 1 };
  };
  return TestTimes(aPairs, rollout_reason::SlowEvents, histogramsOf);
}

rollout_verdict
TestEvidence(std::span<slice_pair const> aPairs)
{
  using evidence_test = rollout_verdict (*)(std::span<slice_pair const>);
  constexpr std::array<evidence_test, 3> kTests{ TestFailures,
                                                 TestFirstEvents,
                                                 TestPauses };
  for (evidence_test const test : kTests) {
    rollout_verdict verdict = test(aPairs);
    if (verdict.mKind == verdict_kind::Bad)
      return verdict;
  }
  return {};
}

}
