#include <LibRollout/EvidenceTest.h>
#include <LibRollout/RolloutJudge.h>

#include <chrono>
#include <vector>

namespace lycheeseam {
namespace {

constexpr duration kSliceTime = std::chrono::milliseconds{ 250 };
// A version that turns bad shows first in its latest answers. Twelve slices
// are 3 s.
constexpr std::int64_t kWindowSlices = 12;
constexpr std::uint64_t kEnoughAnswers = 30;
constexpr std::uint64_t kEnoughOnRoute = 10;
// Routes with fewer answers of the other software don't delay the verdict.
constexpr std::uint64_t kBusyRoute = 100;

std::int64_t
SliceOf(instant aTime)
{
  return aTime.time_since_epoch() / kSliceTime;
}

}

void
rollout_judge::Add(instant aNow, rollout_sample const& aSample)
{
  if (aSample.mOrder == mOrder)
    mRoutes[aSample.mRoute].Add(SliceOf(aNow), aSample);
}

// Each route is tested, and all of them together: a version that is bad on all
// is found with fewer answers.
rollout_verdict
rollout_judge::Test(std::int64_t aFirst) const
{
  std::vector<slice_pair> all;
  for (auto const& [name, route] : mRoutes) {
    std::vector<slice_pair> const pairs = route.Pairs(aFirst);
    rollout_verdict verdict = TestEvidence(pairs);
    if (verdict.mKind == verdict_kind::Bad) {
      verdict.mRoute = name;
      return verdict;
    }
    all.insert(all.end(), pairs.begin(), pairs.end());
  }
  return TestEvidence(all);
}

bool
rollout_judge::IsEnough() const
{
  std::uint64_t answers = 0;
  for (auto const& [name, route] : mRoutes) {
    std::uint64_t const onRoute = route.Answers(rollout_side::Target);
    answers += onRoute;
    if (onRoute < kEnoughOnRoute &&
        route.Answers(rollout_side::Others) >= kBusyRoute)
      return false;
  }
  return answers >= kEnoughAnswers;
}

rollout_verdict
rollout_judge::Verdict(instant aNow) const
{
  std::int64_t const windowBegin = SliceOf(aNow) - kWindowSlices;
  for (std::int64_t const first : { windowBegin, std::int64_t{ 0 } }) {
    rollout_verdict verdict = Test(first);
    if (verdict.mKind == verdict_kind::Bad)
      return verdict;
  }
  return { .mKind =
             IsEnough() ? verdict_kind::NoWorse : verdict_kind::Undecided };
}

std::uint64_t
rollout_judge::BadAnswers() const
{
  std::uint64_t bad = 0;
  for (auto const& [name, route] : mRoutes)
    bad += route.BadAnswers();
  return bad;
}

std::uint64_t
rollout_judge::TargetAnswers() const
{
  std::uint64_t answers = 0;
  for (auto const& [name, route] : mRoutes)
    answers += route.Answers(rollout_side::Target);
  return answers;
}

}
