#include <LibFleet/RolloutLedger.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// True when operators are told the same of both.
bool
HaveOneStatus(rollout_state const& aLeft, rollout_state const& aRight)
{
  return aLeft.mOrder.mNumber == aRight.mOrder.mNumber &&
         aLeft.IsEnded() == aRight.IsEnded() &&
         (!aLeft.IsEnded() || aLeft.mPhase == aRight.mPhase);
}

bool
AreOfOneStep(rollout_state const& aLeft, rollout_state const& aRight)
{
  return aLeft.mOrder.mNumber == aRight.mOrder.mNumber &&
         aLeft.mRevision == aRight.mRevision;
}

}

void
rollout_ledger::Clear()
{
  mHeld.clear();
  mStored.clear();
  mReported.clear();
  mStatuses.clear();
}

void
rollout_ledger::Hold(rollout_notice const& aNotice)
{
  mHeld.insert_or_assign(aNotice.mState.mOrder.mPool, aNotice);
}

rollout_ledger::step_list
rollout_ledger::StepsOf(std::span<rollout_notice const> aNotices)
{
  step_list steps;
  for (rollout_notice const& notice : aNotices)
    steps.emplace_back(notice.mState.mOrder.mNumber, notice.mState.mRevision);
  return steps;
}

std::vector<rollout_notice>
rollout_ledger::Wanted(rollout_states const& aStates,
                       pool_name const& aPool) const
{
  std::vector<rollout_notice> wanted = aStates.OfPool(aPool);
  auto const held = mHeld.find(aPool);
  if (held != mHeld.end() && !wanted.empty())
    wanted.back() = held->second;
  return wanted;
}

std::optional<pool_name>
rollout_ledger::NextPool(rollout_states const& aStates) const
{
  for (pool_name const& pool : aStates.Pools()) {
    auto const stored = mStored.find(pool);
    if (stored == mStored.end() ||
        stored->second != StepsOf(Wanted(aStates, pool)))
      return pool;
  }
  return std::nullopt;
}

void
rollout_ledger::OnStored(pool_name const& aPool,
                         std::span<rollout_notice const> aNotices)
{
  mStored[aPool] = StepsOf(aNotices);
  if (aNotices.empty())
    return;
  rollout_state const& newest = aNotices.back().mState;
  auto const reported = mReported.find(aPool);
  if (reported != mReported.end() && HaveOneStatus(reported->second, newest))
    return;
  mReported.insert_or_assign(aPool, newest);
  mStatuses.push_back(newest);
}

std::optional<rollout_notice>
rollout_ledger::TakeHeld(pool_name const& aPool,
                         std::span<rollout_notice const> aNotices)
{
  auto const held = mHeld.find(aPool);
  if (held == mHeld.end() || aNotices.empty() ||
      !AreOfOneStep(held->second.mState, aNotices.back().mState))
    return std::nullopt;
  rollout_notice const taken = held->second;
  mHeld.erase(held);
  return taken;
}

std::optional<rollout_state>
rollout_ledger::NextStatus() const
{
  if (mStatuses.empty())
    return std::nullopt;
  return mStatuses.front();
}

void
rollout_ledger::OnStatus(rollout_state const& aState)
{
  if (!mStatuses.empty() && mStatuses.front() == aState)
    mStatuses.pop_front();
}

bool
rollout_ledger::HasRunning(rollout_states const& aStates) const
{
  std::vector<pool_name> const pools = aStates.Pools();
  return std::any_of(pools.begin(), pools.end(), [&aStates](auto const& aPool) {
    return !aStates.Newest(aPool)->mState.IsEnded();
  });
}

}
