#pragma once

#include <LibConfig/WorkspaceRow.h>
#include <LibCore/InstanceIdentity.h>
#include <LibLimits/AdmittedCharge.h>
#include <LibLimits/BudgetTiming.h>
#include <LibLimits/ChargeRequest.h>
#include <LibLimits/LenderSelector.h>
#include <LibLimits/LoanBalance.h>
#include <LibLimits/TokenGrant.h>
#include <LibLimits/TokenReport.h>
#include <LibLimits/TokenRequest.h>

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// A workspace's state at one borrowing instance: the loans that it holds, the
/// charges that wait for tokens and the token requests not answered yet.
class borrowing_account
{
public:
  borrowing_account(workspace_row const& aRow,
                    slot_layout aLayout,
                    budget_timing const& aTiming);

  /// Applies new limits.
  void SetLimits(workspace_row const& aRow);

  /// The largest charge that the bursts of all slots can cover together.
  [[nodiscard]] token_count Burst() const noexcept { return mBurst; }

  /// The waiting charges, oldest first.
  [[nodiscard]] std::deque<charge_request> const& Waiting() const noexcept
  {
    return mWaiting;
  }

  /// Adds a waiting charge; AdmitCovered and MakeRequests handle it.
  void Enqueue(charge_request const& aRequest);

  /// Removes a waiting charge.
  void Cancel(charge_id aCharge);

  /// Admits the waiting charges that the loans cover.
  std::vector<admitted_charge> AdmitCovered(instant aNow);

  /// Removes the charges whose deadlines have passed and returns them.
  std::vector<charge_id> ExpireWaiting(instant aNow);

  /// The token requests to send for the missing tokens, numbered from
  /// aLastSequence + 1.
  std::vector<token_request> MakeRequests(instant aNow,
                                          instance_identity const& aSelf,
                                          slot_fold const& aSlots,
                                          std::uint64_t& aLastSequence);

  /// Handles a lender's answer.
  void OnGrant(instant aNow, token_grant const& aGrant);

  /// Drops unanswered token requests and skips their slots for mTimeoutPause.
  void ExpireRequests(instant aNow);

  /// Records usage beyond a charge; the next charges include it.
  void AddDebt(token_count aTokens) noexcept { mDebt += aTokens; }

  /// The loans spent since the last call, one report per slot.
  std::vector<token_report> TakeReports();

  /// Whether TakeReports would return any reports.
  [[nodiscard]] bool HasReports() const noexcept
  {
    return !mUnreported.empty();
  }

  /// When a token request times out, a deadline passes or a slot's pause ends
  /// next.
  [[nodiscard]] std::optional<instant> NextWake(instant aNow) const;

private:
  struct open_request
  {
    slot_request mRequested;
    instant mRequestedAt;
    instant mTimeoutAt;
  };

  admitted_charge AdmitCharge(charge_request const& aRequest);
  void RecordSpent(std::span<charge_part const> aParts);
  token_request OpenRequest(instant aNow,
                            slot_request aRequest,
                            instant aDeadline,
                            std::uint64_t aSequence);

  workspace_id mName;
  budget_timing mTiming;
  token_count mBurst = 0;
  token_count mDebt = 0;
  slot_layout mLayout;
  lender_selector mLenders;
  loan_balance mLoanBalance;
  std::deque<charge_request> mWaiting;
  std::map<std::uint64_t, open_request> mOpenRequests;
  /// The tokens of all open requests together.
  token_count mRequestedTokens = 0;
  std::map<slot_id, token_report> mUnreported;
};

}
