#pragma once

#include <LibConfig/WorkspaceRow.h>
#include <LibCore/InstanceIdentity.h>
#include <LibLimits/BorrowingAccount.h>
#include <LibLimits/BudgetEnvelope.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/ChargeDecision.h>
#include <LibLimits/ChargeRequest.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Charges this instance's requests to their workspaces, with tokens that it
/// borrows from the workspaces' home slots.
///
/// A loan is spent within its lapse time, which counts from before the ask.
/// A request that finds no tokens waits up to its deadline.
class budget_borrower
{
public:
  budget_borrower(instance_identity aSelf, budget_timing aTiming);

  /// Puts a workspace's limits in force.
  void OnLimits(workspace_row const& aRow, slot_layout aLayout);

  /// Refuses what waits for a workspace whose row was deleted.
  void OnWorkspaceRemoved(workspace_id const& aWorkspace);

  /// Charges a request; the decision comes through TakeDecisions.
  void Charge(instant aNow,
              charge_request const& aRequest,
              slot_fold const& aSlots);

  /// A home's answer.
  void OnGrant(instant aNow,
               token_grant const& aGrant,
               slot_fold const& aSlots);

  /// An admitted request has ended and used so many tokens; the rest goes back
  /// to its homes. A request that was not run used none.
  void Settle(charge_id aCharge, token_count aUsed, slot_fold const& aSlots);

  /// A waiting request's caller has gone.
  void Cancel(charge_id aCharge);

  /// Expires asks and waits, asks anew, reports spent loans.
  void Tick(instant aNow, slot_fold const& aSlots);

  /// When Tick has work next.
  [[nodiscard]] std::optional<instant> NextWake(instant aNow) const;

  /// Messages to send, taken once.
  [[nodiscard]] std::vector<budget_envelope> TakeOutbox();

  /// Decisions on charges, taken once.
  [[nodiscard]] std::vector<charge_decision> TakeDecisions();

private:
  void Decide(charge_id aCharge, charge_result aResult);
  void Progress(instant aNow,
                borrowing_account& aAccount,
                slot_fold const& aSlots);
  void SendReports(borrowing_account& aAccount, slot_fold const& aSlots);
  void SendRefund(workspace_id const& aName,
                  charge_part const& aPart,
                  slot_fold const& aSlots);

  instance_identity mSelf;
  budget_timing mTiming;
  std::uint64_t mLastSequence = 0;
  instant mReportAt;
  std::map<workspace_id, borrowing_account> mAccounts;
  std::map<charge_id, admitted_charge> mAdmitted;
  std::vector<budget_envelope> mOutbox;
  std::vector<charge_decision> mDecisions;
};

}
