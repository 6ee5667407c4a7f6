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

/// One instance's part in the fleet's token budgets.
///
/// Each workspace's rate and burst are divided among budget slots. The log
/// records which instance holds a slot; the holder lends the slot's tokens, and
/// every instance borrows tokens to charge its requests. This type connects the
/// lender, the borrower and the rules for claiming and opening slots.
///
/// The caller passes in log entries, instance lists, limits, messages and time,
/// and after each call takes the messages, claims and decisions.
class fleet_budget
{
public:
  fleet_budget(instance_identity aSelf,
               slot_layout aLayout,
               budget_timing aTiming,
               takeover_timing aTakeover);

  /// Starts from the slot holders of a peer's snapshot or of a checkpoint.
  void Restore(instant aNow,
               std::map<slot_id, slot_holder> aHolders,
               log_offset aFolded);

  /// Applies the next entry of the log.
  void OnEntry(instant aNow, log_entry const& aEntry);

  /// Records that every entry which the log held at aReadAt is folded.
  void OnTailRead(instant aReadAt, log_offset aTail);

  /// Records the platform's list of instances.
  void OnInstanceList(instant aNow, std::span<instance_id const> aLive);

  /// Applies a workspace's limits.
  void OnLimits(instant aNow, workspace_row const& aRow);

  /// Removes a workspace whose row was deleted.
  void OnWorkspaceRemoved(workspace_id const& aWorkspace);

  /// Handles a message from a peer or from this instance itself.
  void OnMessage(instant aNow, budget_message const& aMessage);

  /// Charges a request before it runs; TakeDecisions returns the decision.
  void Charge(instant aNow, charge_request const& aRequest);

  /// Settles the charge of an admitted request that has ended.
  void Settle(charge_id aCharge, token_count aUsed);

  /// Drops the waiting charge of a caller that disconnected.
  void Cancel(charge_id aCharge);

  /// Performs the work that is due; must be called by NextWake at the latest.
  void Tick(instant aNow);

  /// When Tick has work next.
  [[nodiscard]] instant NextWake(instant aNow) const;

  /// The messages to send; each is returned once.
  [[nodiscard]] std::vector<budget_envelope> TakeOutbox();

  /// The decisions on charges; each is returned once.
  [[nodiscard]] std::vector<charge_decision> TakeDecisions();

  /// The slot claims to append to the log; each is returned once.
  [[nodiscard]] std::vector<slot_claim> TakeClaims(instant aNow);

  [[nodiscard]] budget_counters const& Counters() const noexcept
  {
    return mCounters;
  }

  /// Whether this instance may lend from its slots now.
  [[nodiscard]] lending_state Lending(instant aNow) const
  {
    return mQuorum.StateAt(aNow);
  }

  /// The slot holders, for checkpoints and snapshots.
  [[nodiscard]] slot_fold const& Slots() const noexcept { return mSlots; }

private:
  void OnSlotsChanged(instant aNow);
  void OpenReleased(instant aNow);
  void SendProbes(instant aNow);
  [[nodiscard]] quorum_answer MakeAnswer(instant aNow,
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
  lending_quorum mQuorum;
  peer_activity mPeerActivity;
  slot_release mRelease;
  slot_takeover mTakeover;
  budget_lender mLender;
  budget_borrower mBorrower;
  instant mProbeAt;
  budget_counters mCounters;
  std::vector<budget_envelope> mOutbox;
};

}
