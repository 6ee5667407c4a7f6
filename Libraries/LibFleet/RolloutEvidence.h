#pragma once

#include <LibCore/Instant.h>
#include <LibRollout/RolloutJudge.h>
#include <LibRollout/RolloutSample.h>

#include <cstdint>
#include <deque>
#include <map>
#include <span>

namespace lycheeseam {

/// What all instances observed of rollouts. Every instance keeps it, so that
/// each can succeed the leader.
class rollout_evidence
{
public:
  void Add(instant aNow, std::span<rollout_sample const> aSamples);

  /// The judge of an order; null before the first sample.
  [[nodiscard]] rollout_judge const* JudgeOf(std::uint64_t aOrder) const;

  /// The answers of the pool's servers in a second, over all instances.
  [[nodiscard]] double Rate(instant aNow, std::uint64_t aOrder) const;

  /// The requests that run on the pool's servers, as many as take that time
  /// together.
  [[nodiscard]] double Running(instant aNow, std::uint64_t aOrder) const;

private:
  struct answer_count
  {
    instant mAt{};
    std::uint32_t mAnswers = 0;
    duration mRunTime{};
  };
  struct order_evidence
  {
    rollout_judge mJudge;
    instant mSince{};
    /// Those of the last seconds, oldest first.
    std::deque<answer_count> mRecent;
  };
  struct answer_sum
  {
    double mAnswers = 0;
    double mRunSeconds = 0;
    /// The time in which they ended, in seconds.
    double mSeconds = 1;
  };

  [[nodiscard]] answer_sum Recent(instant aNow, std::uint64_t aOrder) const;

  std::map<std::uint64_t, order_evidence> mOrders;
};

}
