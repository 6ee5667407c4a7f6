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

/// Lends tokens from the slots that this instance holds. It deducts before it
/// answers, so a lost answer loses tokens but never makes any.
class budget_lender
{
public:
  budget_lender(instance_identity aSelf,
                slot_layout aLayout,
                budget_timing aTiming);

  /// Drops the slots that this life of the instance no longer holds.
  void OnSlots(slot_fold const& aSlots);

  /// Opens a held slot, empty; it accrues from aAccruesFrom on. Called when
  /// slot_release has shown that the former holders let go.
  void OpenSlot(instant aNow,
                slot_id aSlot,
                log_offset aClaim,
                instant aAccruesFrom);

  /// The slots that are open here.
  [[nodiscard]] std::vector<slot_id> OpenSlots() const;

  /// Puts a workspace's limits in force.
  void OnLimits(instant aNow, workspace_row const& aRow);

  /// Forgets a workspace whose row was deleted.
  void OnWorkspaceRemoved(workspace_id const& aWorkspace);

  /// Answers a borrower, or keeps its ask until tokens have accrued.
  void OnRequest(instant aNow,
                 lending_state aPermission,
                 token_request const& aRequest);

  /// Takes back charged tokens; returns how many the burst had room for.
  token_count OnRefund(instant aNow, token_refund const& aRefund);

  /// Stops counting loans that are spent.
  void OnReport(instant aNow, token_report const& aReport);

  /// Answers asks whose tokens have accrued or whose patience is over.
  void Tick(instant aNow, lending_state aPermission);

  /// When Tick has work next; nothing while no ask waits.
  [[nodiscard]] std::optional<instant> NextWake() const;

  /// The answers to send, which are taken once.
  [[nodiscard]] std::vector<budget_envelope> TakeOutbox();

private:
  struct account_key
  {
    workspace_id mWorkspace;
    slot_id mSlot;

    auto operator<=>(account_key const&) const = default;
  };

  struct waiting_ask
  {
    token_request mRequest;
    instant mDeadline;
  };

  struct home_account
  {
    log_offset mClaim;
    slot_account mTokens;
    std::deque<waiting_ask> mWaiting;
    token_count mWaitingTokens = 0;
    instant mServeAt;
  };

  struct held_slot
  {
    log_offset mClaim;
    instant mAccruesFrom;
  };

  void OpenAccount(instant aNow, workspace_row const& aRow, slot_id aSlot);
  void DropSlot(slot_id aSlot);
  [[nodiscard]] home_account* FindAccount(workspace_id const& aWorkspace,
                                          slot_id aSlot,
                                          log_offset aClaim);
  [[nodiscard]] bool WillAccrue(home_account const& aAccount,
                                token_request const& aRequest) const;
  void Answer(token_request const& aRequest,
              grant_result aResult,
              home_account const* aAccount,
              loan_id aLoan = {});
  void Lend(instant aNow,
            home_account& aAccount,
            token_request const& aRequest);
  void Serve(instant aNow, home_account& aAccount, lending_state aPermission);

  instance_identity mSelf;
  budget_timing mTiming;
  slot_layout mLayout;
  std::map<workspace_id, workspace_row> mRows;
  std::map<slot_id, held_slot> mHeld;
  std::map<account_key, home_account> mAccounts;
  std::vector<budget_envelope> mOutbox;
};

}
