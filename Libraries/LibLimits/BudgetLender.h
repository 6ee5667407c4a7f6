#pragma once

#include <LibConfig/WorkspaceRow.h>
#include <LibCore/InstanceIdentity.h>
#include <LibLimits/BudgetEnvelope.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/LendingState.h>
#include <LibLimits/SlotAccount.h>
#include <LibLimits/SlotFold.h>

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Lends tokens from the slots that this instance holds. It deducts a loan
/// before it answers, so a lost answer wastes tokens but never creates any.
class budget_lender
{
public:
  budget_lender(instance_identity aSelf,
                slot_layout aLayout,
                budget_timing aTiming);

  /// Drops the slots that this incarnation of the instance no longer holds.
  void OnSlots(slot_fold const& aSlots);

  /// Opens a held slot without tokens; it accrues from aAccruesFrom on. Called
  /// once slot_release has found that all former holders released it.
  void OpenSlot(instant aNow,
                slot_id aSlot,
                log_offset aClaim,
                instant aAccruesFrom);

  /// The slots that are open at this instance.
  [[nodiscard]] std::vector<slot_id> OpenSlots() const;

  /// Applies a workspace's limits.
  void OnLimits(instant aNow, workspace_row const& aRow);

  /// Removes a workspace whose row was deleted.
  void OnWorkspaceRemoved(workspace_id const& aWorkspace);

  /// Answers a borrower's request, or queues it until tokens have accrued.
  void OnRequest(instant aNow,
                 lending_state aLending,
                 token_request const& aRequest);

  /// Takes back charged tokens as far as the burst allows; returns how many.
  token_count OnRefund(instant aNow, token_refund const& aRefund);

  /// Stops counting spent loans against the burst.
  void OnReport(instant aNow, token_report const& aReport);

  /// Answers queued requests whose tokens have accrued or whose time is up.
  void Tick(instant aNow, lending_state aLending);

  /// When Tick has work next; empty while no request is queued.
  [[nodiscard]] std::optional<instant> NextWake() const;

  /// The answers to send; each is returned once.
  [[nodiscard]] std::vector<budget_envelope> TakeOutbox();

private:
  struct account_key
  {
    workspace_id mWorkspace;
    slot_id mSlot;

    auto operator<=>(account_key const&) const = default;
  };

  struct queued_request
  {
    token_request mRequest;
    instant mDeadline;
  };

  struct lending_account
  {
    log_offset mClaim;
    slot_account mTokens;
    std::deque<queued_request> mWaiting;
    token_count mWaitingTokens = 0;
    /// When Tick serves the queue next, if requests wait.
    instant mServeAt;
  };

  struct held_slot
  {
    log_offset mClaim;
    instant mAccruesFrom;
  };

  void OpenAccount(instant aNow, workspace_row const& aRow, slot_id aSlot);
  void DropSlot(slot_id aSlot);
  [[nodiscard]] lending_account* FindAccount(workspace_id const& aWorkspace,
                                             slot_id aSlot,
                                             log_offset aClaim);
  [[nodiscard]] bool WillAccrue(lending_account const& aAccount,
                                token_request const& aRequest) const;
  void Answer(token_request const& aRequest,
              grant_result aResult,
              lending_account const* aAccount,
              loan_id aLoan = {});
  void Lend(instant aNow,
            lending_account& aAccount,
            token_request const& aRequest);
  void ServeQueue(instant aNow,
                  lending_account& aAccount,
                  lending_state aLending);

  instance_identity mSelf;
  budget_timing mTiming;
  slot_layout mLayout;
  std::map<workspace_id, workspace_row> mRows;
  std::map<slot_id, held_slot> mHeld;
  std::map<account_key, lending_account> mAccounts;
  std::vector<budget_envelope> mOutbox;
};

}
