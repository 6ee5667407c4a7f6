#pragma once

#include <LibRollout/RolloutSample.h>
#include <LibRollout/SlicePair.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace lycheeseam {

/// The answers of both sides on one route, in slices of time.
class route_evidence
{
public:
  void Add(std::int64_t aSlice, rollout_sample const& aSample);

  /// The target's answers of the slices from aFirst on, each with those of the
  /// other software to compare them with.
  [[nodiscard]] std::vector<slice_pair> Pairs(std::int64_t aFirst) const;

  /// The target's failures and its answers much slower than nearly all answers
  /// of the other software.
  [[nodiscard]] std::uint64_t BadAnswers() const;

  [[nodiscard]] std::uint64_t Answers(rollout_side aSide) const
  {
    return Sum(aSide).mAnswers;
  }

private:
  using time_slice = std::array<rollout_sample, kRolloutSides>;

  [[nodiscard]] rollout_sample Sum(rollout_side aSide) const;
  [[nodiscard]] slice_pair PairOf(std::int64_t aSlice,
                                  rollout_sample const& aTarget) const;

  std::map<std::int64_t, time_slice> mSlices;
};

}
