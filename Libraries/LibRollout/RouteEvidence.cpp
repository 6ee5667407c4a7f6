#include <LibRollout/RouteEvidence.h>

#include <cstddef>
#include <iterator>

namespace lycheeseam {
namespace {

// Bounds the memory of an order that lasts long.
constexpr std::size_t kMaxSlices = 1200;
// Answers of the other software from these slices around a slice count as of
// the same time, if they are as many as this. Fewer are mostly the last ones
// before all traffic moved to the target, which are slower than usual.
constexpr std::int64_t kSlicesBefore = 3;
constexpr std::int64_t kSlicesAfter = 1;
constexpr std::uint32_t kEnoughAnswers = 60;
constexpr std::uint32_t kEnoughEarlierAnswers = 100;

constexpr std::size_t kTarget = static_cast<std::size_t>(rollout_side::Target);
constexpr std::size_t kOthers = static_cast<std::size_t>(rollout_side::Others);

std::uint64_t
CountMuchSlower(log_histogram const& aTarget, log_histogram const& aOthers)
{
  constexpr std::uint64_t kLeastReference = 20;
  constexpr double kPart = 0.02;
  constexpr std::size_t kSlowBuckets = 6;
  if (aOthers.Total() < kLeastReference)
    return 0;
  return aTarget.AtLeast(aOthers.BoundOf(kPart) + kSlowBuckets);
}

}

void
route_evidence::Add(std::int64_t aSlice, rollout_sample const& aSample)
{
  mSlices[aSlice].at(static_cast<std::size_t>(aSample.mSide)) += aSample;
  if (mSlices.size() > kMaxSlices)
    mSlices.erase(mSlices.begin());
}

rollout_sample
route_evidence::Sum(rollout_side aSide) const
{
  rollout_sample sum;
  for (auto const& [number, slice] : mSlices)
    sum += slice.at(static_cast<std::size_t>(aSide));
  return sum;
}

slice_pair
route_evidence::PairOf(std::int64_t aSlice, rollout_sample const& aTarget) const
{
  slice_pair pair{ .mTarget = aTarget };
  auto const end = mSlices.upper_bound(aSlice + kSlicesAfter);
  for (auto at = mSlices.lower_bound(aSlice - kSlicesBefore); at != end; ++at)
    pair.mOthers += at->second.at(kOthers);
  if (pair.mOthers.mAnswers >= kEnoughAnswers)
    return pair;
  // While all traffic is on the target, the latest earlier answers are the
  // only ones to compare with.
  pair.mIsSameTime = false;
  auto earlier = mSlices.lower_bound(aSlice - kSlicesBefore);
  while (earlier != mSlices.begin() &&
         pair.mOthers.mAnswers < kEnoughEarlierAnswers) {
    --earlier;
    pair.mOthers += earlier->second.at(kOthers);
  }
  return pair;
}

std::vector<slice_pair>
route_evidence::Pairs(std::int64_t aFirst) const
{
  std::vector<slice_pair> pairs;
  for (auto at = mSlices.lower_bound(aFirst); at != mSlices.end(); ++at) {
    rollout_sample const& target = at->second.at(kTarget);
    if (target.mAnswers > 0)
      pairs.push_back(PairOf(at->first, target));
  }
  return pairs;
}

std::uint64_t
route_evidence::BadAnswers() const
{
  rollout_sample const target = Sum(rollout_side::Target);
  rollout_sample const others = Sum(rollout_side::Others);
  std::uint64_t bad = target.mFailures;
  for (std::size_t size = 0; size < rollout_sample::kSizeClasses; ++size)
    bad +=
      CountMuchSlower(target.mFirstEvent.at(size), others.mFirstEvent.at(size));
  return bad + CountMuchSlower(target.mLongestPause, others.mLongestPause);
}

}
