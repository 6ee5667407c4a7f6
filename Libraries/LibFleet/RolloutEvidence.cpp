#include <LibFleet/RolloutEvidence.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// Samples of replaced orders arrive for a moment more; several pools may have
// an order.
constexpr std::size_t kKeptOrders = 16;

// Instances report every 150 ms or so.
constexpr std::chrono::milliseconds kRateWindow{ 2'000 };
constexpr duration kLeastRateTime = std::chrono::milliseconds{ 500 };

}

void
rollout_evidence::Add(instant aNow, std::span<rollout_sample const> aSamples)
{
  for (rollout_sample const& sample : aSamples) {
    order_evidence& evidence =
      mOrders
        .try_emplace(sample.mOrder,
                     order_evidence{ .mJudge = rollout_judge{ sample.mOrder },
                                     .mSince = aNow })
        .first->second;
    evidence.mJudge.Add(aNow, sample);
    evidence.mRecent.push_back({ .mAt = aNow,
                                 .mAnswers = sample.mAnswers,
                                 .mRunTime = sample.mRunTime });
    while (aNow - evidence.mRecent.front().mAt > kRateWindow)
      evidence.mRecent.pop_front();
  }
  while (mOrders.size() > kKeptOrders)
    mOrders.erase(mOrders.begin());
}

rollout_judge const*
rollout_evidence::JudgeOf(std::uint64_t aOrder) const
{
  auto const found = mOrders.find(aOrder);
  return found == mOrders.end() ? nullptr : &found->second.mJudge;
}

rollout_evidence::answer_sum
rollout_evidence::Recent(instant aNow, std::uint64_t aOrder) const
{
  using seconds = std::chrono::duration<double>;
  auto const found = mOrders.find(aOrder);
  if (found == mOrders.end())
    return {};
  answer_sum sum{ .mSeconds =
                    seconds(std::clamp<duration>(aNow - found->second.mSince,
                                                 kLeastRateTime,
                                                 kRateWindow))
                      .count() };
  for (answer_count const& count : found->second.mRecent) {
    if (aNow - count.mAt > kRateWindow)
      continue;
    sum.mAnswers += count.mAnswers;
    sum.mRunSeconds += seconds(count.mRunTime).count();
  }
  return sum;
}

double
rollout_evidence::Rate(instant aNow, std::uint64_t aOrder) const
{
  answer_sum const sum = Recent(aNow, aOrder);
  return sum.mAnswers / sum.mSeconds;
}

double
rollout_evidence::Running(instant aNow, std::uint64_t aOrder) const
{
  answer_sum const sum = Recent(aNow, aOrder);
  return sum.mRunSeconds / sum.mSeconds;
}

}
