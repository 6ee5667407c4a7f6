#pragma once

#include <LibLimits/BudgetBorrower.h>
#include <LibLimits/BudgetCounters.h>
#include <LibLimits/BudgetLender.h>
#include <LibLimits/LendingQuorum.h>
#include <LibLimits/PeerActivity.h>
#include <LibLimits/SlotRelease.h>
#include <LibLimits/SlotTakeover.h>

#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// One instance's part in the budgets of the fleet: joins the slots' fold, the
/// home, the borrower and what decides on slots.
///
/// The owner feeds it entries, lists, limits, messages and time, and after
/// each call takes what is to be sent, appended and answered.
class fleet_budget
{
public:
  fleet_budget(instance_identity aSelf,
               slot_layout aLayout,
               budget_timing aTiming,
               takeover_timing aTakeover);

  /// Starts from the slots' holders of a peer's snapshot or a checkpoint.
  void Restore(instant aNow,
               std::map<slot_id, slot_holder> aHolders,
               log_offset aFolded);

  /// Folds the next entry of the log.
  void OnEntry(instant aNow, log_entry const& aEntry);

  /// Every entry that the log held at aReadAt is folded.
  void OnTailRead(instant aReadAt, log_offset aTail);

  /// The platform's list as last read.
  void OnInstanceList(instant aNow, std::span<instance_id const> aLive);

  /// Puts a workspace's limits in force.
  void OnLimits(instant aNow, workspace_row const& aRow);

  /// A workspace's row was deleted.
  void OnWorkspaceRemoved(workspace_id const& aWorkspace);

  /// Takes a message from a peer or from this instance itself.
  void OnMessage(instant aNow, budget_message const& aMessage);

  /// Charges a request before it runs.
  void Charge(instant aNow, charge_request const& aRequest);

  /// An admitted request has ended.
  void Settle(charge_id aCharge, token_count aUsed);

  /// A waiting request's caller has gone.
  void Cancel(charge_id aCharge);

  /// Does what is due; call it at NextWake at the latest.
  void Tick(instant aNow);

  /// When Tick has work next.
  [[nodiscard]] instant NextWake(instant aNow) const;

  /// Messages to send, taken once.
  [[nodiscard]] std::vector<budget_envelope> TakeOutbox();

  /// Decisions on charges, taken once.
  [[nodiscard]] std::vector<charge_decision> TakeDecisions();

  /// Claims to append to the log, taken once.
  [[nodiscard]] std::vector<slot_claim> TakeClaims(instant aNow);

  [[nodiscard]] budget_counters const& Counters() const noexcept
  {
    return mCounters;
  }

  /// Whether this instance may lend from its slots now.
  [[nodiscard]] lending_state Permission(instant aNow) const
  {
    return mStanding.At(aNow);
  }

  /// The slots' holders, for checkpoints and snapshots.
  [[nodiscard]] slot_fold const& Slots() const noexcept { return mSlots; }

private:
  void OnSlotsChanged(instant aNow);
  void OpenReleased(instant aNow);
  void Probe(instant aNow);
  [[nodiscard]] quorum_answer Word(instant aNow,
                                   quorum_probe const& aProbe) const;
  void Handle(instant aNow, token_request const& aMessage);
  void Handle(instant aNow, token_grant const& aMessage);
  void Handle(instant aNow, token_refund const& aMessage);
  void Handle(instant aNow, token_report const& aMessage);
  void Handle(instant aNow, quorum_probe const& aMessage);
  void Handle(instant aNow, quorum_answer const& aMessage);

  instance_identity mSelf;
  budget_timing mTiming;
  slot_fold mSlots;
  log_offset mFolded;
  lending_quorum mStanding;
  peer_activity mWatch;
  slot_release mRelease;
  slot_takeover mTakeover;
  budget_lender mHome;
  budget_borrower mBorrower;
  instant mProbeAt;
  budget_counters mCounters;
  std::vector<budget_envelope> mOutbox;
};

}
