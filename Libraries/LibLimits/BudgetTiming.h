#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// Time limits of loans, slot takeovers and the lending quorum. Every instance
/// must use the same values; docs/LIMITS.md says how they depend on each other.
struct budget_timing
{
  /// How long a borrower may spend a loan, from just before it requested it.
  duration mBorrowerLoanExpiry = std::chrono::seconds{ 2 };
  /// How long a lender counts a loan against its burst, from when it lent it;
  /// longer than mBorrowerLoanExpiry by the drift between two clocks.
  duration mLenderLoanExpiry = std::chrono::milliseconds{ 2020 };
  /// How long a holder may lend after it last read the log's tail or, during an
  /// outage of the log, after it sent the last probe that a majority answered.
  duration mConfirmBound = std::chrono::seconds{ 1 };
  /// How long a slot taken over from another instance accrues no tokens: the
  /// former holder may still lend for mConfirmBound, and its loans last
  /// mLenderLoanExpiry.
  duration mTakeoverWait = std::chrono::milliseconds{ 3100 };
  /// How long the unresponsive holders of a quorum answer count for
  /// slot_release, from when its probe was sent.
  duration mAnswerBound = std::chrono::milliseconds{ 900 };
  /// How long no message of an instance must arrive until it is reported
  /// unresponsive; more than mConfirmBound and mAnswerBound together.
  duration mUnresponsiveAfter = std::chrono::seconds{ 2 };
  /// How often slot holders probe each other.
  duration mProbeInterval = std::chrono::milliseconds{ 250 };
  /// How long a slot accrues no tokens when an earlier incarnation of the same
  /// instance held it: that one's loans last mLenderLoanExpiry.
  duration mRestartWait = std::chrono::milliseconds{ 2020 };
  /// How long a token request may stay unanswered before another lender
  /// gets one.
  duration mRequestTimeout = std::chrono::milliseconds{ 100 };
  /// The longest that a lender queues a request until tokens accrue.
  duration mQueueTimeLimit = std::chrono::milliseconds{ 250 };
  /// How long a borrower skips a slot whose lender refused a request.
  duration mRefusalPause = std::chrono::milliseconds{ 50 };
  /// How long a borrower skips a slot whose lender did not answer.
  duration mTimeoutPause = std::chrono::seconds{ 1 };
  /// How often spent loans are reported to their lenders.
  duration mReportInterval = std::chrono::milliseconds{ 250 };
};

}
