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

/// Charges this instance's requests to their workspaces, with tokens borrowed
/// from the holders of the workspaces' slots.
///
/// A loan may be spent for mBorrowerLoanExpiry from when it was requested. A
/// charge that no loan covers waits until its deadline.
class budget_borrower
{
public:
  budget_borrower(instance_identity aSelf, budget_timing aTiming);

  /// Applies a workspace's limits.
  void OnLimits(workspace_row const& aRow, slot_layout aLayout);

  /// Removes a workspace whose row was deleted and refuses its waiting charges.
  void OnWorkspaceRemoved(workspace_id const& aWorkspace);

  /// Charges a request; TakeDecisions returns the decision.
  void Charge(instant aNow,
              charge_request const& aRequest,
              slot_fold const& aSlots);

  /// Handles a lender's answer.
  void OnGrant(instant aNow,
               token_grant const& aGrant,
               slot_fold const& aSlots);

  /// Settles the charge of an admitted request that has ended: refunds the
  /// unused tokens to their lenders, or adds usage beyond the charge to the
  /// workspace's next charges. aUsed is 0 for a request that did not run.
  void Settle(charge_id aCharge, token_count aUsed, slot_fold const& aSlots);

  /// Drops the waiting charge of a caller that disconnected.
  void Cancel(charge_id aCharge);

  /// Expires token requests and waiting charges, sends new token requests and
  /// reports spent loans.
  void Tick(instant aNow, slot_fold const& aSlots);

  /// When Tick has work next.
  [[nodiscard]] std::optional<instant> NextWake(instant aNow) const;

  /// The messages to send; each is returned once.
  [[nodiscard]] std::vector<budget_envelope> TakeOutbox();

  /// The decisions on charges; each is returned once.
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
