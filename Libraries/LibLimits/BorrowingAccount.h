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

/// One workspace at one instance: the loans held, the requests that wait for
/// tokens and the asks that are open for them.
class borrowing_account
{
public:
  borrowing_account(workspace_row const& aRow,
                    slot_layout aLayout,
                    budget_timing const& aTiming);

  /// Puts new limits in force.
  void SetLimits(workspace_row const& aRow);

  /// The largest charge that the homes' bursts can cover together.
  [[nodiscard]] token_count Burst() const noexcept { return mBurst; }

  /// The requests that wait, the oldest first.
  [[nodiscard]] std::deque<charge_request> const& Waiting() const noexcept
  {
    return mWaiting;
  }

  /// Lets a request wait; Serve and Ask see to it.
  void Enqueue(charge_request const& aRequest);

  /// Takes a waiting request out.
  void Cancel(charge_id aCharge);

  /// Pays the waiting requests that the loans cover.
  std::vector<admitted_charge> Serve(instant aNow);

  /// Takes out the requests whose deadlines have passed.
  std::vector<charge_id> ExpireWaiting(instant aNow);

  /// The asks to send for what is missing. aLastSequence numbers them.
  std::vector<token_request> Ask(instant aNow,
                                 instance_identity const& aSelf,
                                 slot_fold const& aSlots,
                                 std::uint64_t& aLastSequence);

  /// Takes a home's answer.
  void OnGrant(instant aNow, token_grant const& aGrant);

  /// Gives up asks that went unanswered, and leaves their homes out a while.
  void ExpireAsks(instant aNow);

  /// A request has used more than its charge; the next charge pays it.
  void AddDebt(token_count aTokens) noexcept { mDebt += aTokens; }

  /// What was spent since the last call, by slot.
  std::vector<token_report> TakeReports();

  /// Whether TakeReports has anything.
  [[nodiscard]] bool HasReports() const noexcept
  {
    return !mUnreported.empty();
  }

  /// When asks or waits are to be looked at next.
  [[nodiscard]] std::optional<instant> NextWake(instant aNow) const;

private:
  struct open_ask
  {
    slot_request mAsk;
    instant mAskedAt;
    instant mTimeoutAt;
  };

  admitted_charge Pay(charge_request const& aRequest);
  void NoteSpent(std::span<charge_part const> aParts);
  token_request Open(instant aNow,
                     slot_request aAsk,
                     instant aDeadline,
                     std::uint64_t aSequence);

  workspace_id mName;
  budget_timing mTiming;
  token_count mBurst = 0;
  token_count mDebt = 0;
  slot_layout mLayout;
  lender_selector mHomes;
  loan_balance mPurse;
  std::deque<charge_request> mWaiting;
  std::map<std::uint64_t, open_ask> mAsks;
  /// The sum of the open asks.
  token_count mAsked = 0;
  std::map<slot_id, token_report> mUnreported;
};

}
