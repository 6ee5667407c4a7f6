#pragma once

#include "ReferenceBucket.h"
#include <LibLimits/FleetBudget.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace lycheeseam {

/// Simulates instances that each run a fleet_budget, in virtual time, with a
/// network, a log and a platform list whose failures the test controls.
class virtual_fleet
{
public:
  struct options
  {
    std::uint64_t mSeed = 1;
    std::size_t mInstances = 8;
    slot_layout mLayout;
    workspace_row mRow;
    /// The smallest share of its charge that a request uses, in percent.
    token_count mLeastUsed = 50;
    budget_timing mTiming;
    takeover_timing mTakeover;
  };

  struct tally
  {
    std::uint64_t mAdmitted = 0;
    std::uint64_t mRefused = 0;
    token_count mAdmittedTokens = 0;
  };

  explicit virtual_fleet(options const& aOptions);
  virtual_fleet(virtual_fleet const&) = delete;
  virtual_fleet& operator=(virtual_fleet const&) = delete;

  [[nodiscard]] instant Now() const noexcept { return mNow; }
  [[nodiscard]] std::size_t Size() const noexcept { return mMembers.size(); }
  [[nodiscard]] tally const& Tally() const noexcept { return mTally; }
  [[nodiscard]] double LowestLevel() const { return mReference.Lowest(); }
  [[nodiscard]] std::uint64_t SlotsOpened() const noexcept { return mOpened; }
  std::mt19937_64& Random() noexcept { return mRandom; }
  duration RandomTime(duration aLeast, duration aMost);

  void At(instant aWhen, std::function<void()> aAction);
  void RunUntil(instant aEnd);

  /// Charges a request at a member; it later settles to a share of its charge.
  void Request(std::size_t aMember, token_count aTokens, duration aMaxWait);

  void Crash(std::size_t aMember, duration aDowntime, bool aRenamed);
  void Pause(std::size_t aMember, duration aSpan);
  /// Lets the members of aGroup reach only each other for aSpan.
  void Partition(std::set<std::size_t> const& aGroup,
                 duration aSpan,
                 bool aLosesPlatform);
  void StartLogOutage(duration aSpan) { mLogOutageUntil = mNow + aSpan; }
  void HideFromList(std::size_t aMember, duration aSpan);
  void ChangeLimits(token_count aRate, token_count aBurst);
  void SetLoss(double aShare) { mLoss = aShare; }

private:
  struct member
  {
    instance_identity mIdentity;
    bool mIsUp = false;
    instant mPausedUntil;
    instant mHiddenUntil;
    instant mPartitionedUntil;
    bool mLosesPlatform = false;
    std::set<std::size_t> mPartition;
    /// How far this member's clock is ahead of mNow.
    duration mClockOffset{ 0 };
    std::size_t mNextEntry = 0;
    std::unique_ptr<fleet_budget> mBudget;
  };

  /// An entry of the log, with the new limits if it changes them.
  struct entry
  {
    log_entry mRecord;
    std::optional<workspace_row> mLimits;
  };

  /// Applies the new limits to the reference bucket once no holder may lend by
  /// older ones and the loans by older ones have expired.
  void ApplyLimitsOnceInForce(std::size_t aEntries);
  void Start(std::size_t aMember);
  void Step(std::size_t aMember);
  void ReadLog(std::size_t aMember);
  void FoldUpTo(member& aMember, std::size_t aEnd);
  void ReadList(std::size_t aMember);
  void Append(slot_claim aClaim);
  void Send(std::size_t aFrom, budget_envelope aEnvelope);
  void Deliver(std::size_t aTo,
               std::uint64_t aIncarnation,
               budget_message const& aMessage);
  void Flush(std::size_t aMember);
  void Decide(std::size_t aMember, charge_decision const& aDecision);
  [[nodiscard]] bool IsRunning(std::size_t aMember) const;
  [[nodiscard]] bool ArePartitioned(std::size_t aLeft,
                                    std::size_t aRight) const;
  [[nodiscard]] bool ReachesPlatform(member const& aMember) const;
  [[nodiscard]] instant LocalNow(member const& aMember) const;

  options mOptions;
  std::mt19937_64 mRandom;
  instant mNow{ std::chrono::hours{ 1 } };
  /// Actions at the same instant run in the order in which they were added.
  std::multimap<instant, std::function<void()>> mEvents;
  std::vector<member> mMembers;
  std::vector<entry> mLog;
  instant mLogOutageUntil;
  double mLoss = 0;
  reference_bucket mReference;
  workspace_row mLimits;
  std::map<charge_id, token_count> mCharges;
  std::uint64_t mLastCharge = 0;
  tally mTally;
  std::uint64_t mOpened = 0;
};

}
