#pragma once

#include <LibRollout/RolloutSample.h>
#include <LibRollout/RolloutVerdict.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>

namespace lycheeseam {

/// The answers of both sides on one route, in slices of time, and the tests
/// that compare them.
class route_evidence
{
public:
  void Add(std::int64_t aSlice, rollout_sample const& aSample);

  /// Tests the target on the slices from aFirst on. Each of its slices is
  /// compared with the other software at the same time.
  [[nodiscard]] rollout_verdict Test(std::int64_t aFirst) const;

  /// The target's failures and its answers much slower than nearly all answers
  /// of the other software.
  [[nodiscard]] std::uint64_t BadAnswers() const;

  [[nodiscard]] std::uint64_t Answers(rollout_side aSide) const;

private:
  struct time_slice
  {
    std::array<rollout_sample, kRolloutSides> mSides{};
  };
  /// Which of a side's answers are compared, and how many exceed the limit.
  struct answer_count
  {
    std::uint64_t mAll = 0;
    std::uint64_t mBad = 0;
  };
  struct comparison
  {
    double mBad = 0;
    double mExpected = 0;
  };
  using histogram_of =
    std::function<log_histogram const&(rollout_sample const&)>;
  using count_of = std::function<answer_count(rollout_sample const&)>;

  [[nodiscard]] rollout_sample OthersNear(std::int64_t aSlice,
                                          bool& aIsSameTime) const;
  [[nodiscard]] comparison Compare(std::int64_t aFirst,
                                   double aLeastRate,
                                   count_of const& aTarget,
                                   count_of const& aOthers,
                                   bool aSameTimeOnly) const;
  [[nodiscard]] rollout_verdict TestFailures(std::int64_t aFirst) const;
  [[nodiscard]] rollout_verdict TestTimes(std::int64_t aFirst,
                                          rollout_reason aReason,
                                          histogram_of const& aTimes) const;

  std::map<std::int64_t, time_slice> mSlices;
};

}
