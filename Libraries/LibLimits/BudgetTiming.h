#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// The times that budgets are kept by. Every instance must run with the same
/// ones: docs/LIMITS.md says how they depend on each other.
struct budget_timing
{
  /// How long a borrower may use a loan, from just before it asked.
  duration mLapse = std::chrono::seconds{ 2 };
  /// How long a home counts a loan against its burst, from when it gave it;
  /// longer than mLapse by the drift of two clocks.
  duration mHomeLapse = std::chrono::milliseconds{ 2020 };
  /// How long a holder gives on the strength of its last reading of the log.
  duration mConfirmBound = std::chrono::seconds{ 1 };
  /// How long a slot that was claimed anew accrues nothing: the former holder
  /// may give for mConfirmBound and its loans last mHomeLapse.
  duration mTakeoverWait = std::chrono::milliseconds{ 3100 };
  /// How long a word of a peer counts.
  duration mWordBound = std::chrono::milliseconds{ 900 };
  /// How long an instance must be unheard to be called silent; more than
  /// mConfirmBound and mWordBound together.
  duration mSilence = std::chrono::seconds{ 2 };
  /// How often holders of slots are probed.
  duration mProbeInterval = std::chrono::milliseconds{ 250 };
  /// How long a slot accrues nothing that an earlier life of the same process
  /// held; its loans last mHomeLapse.
  duration mRestartWait = std::chrono::milliseconds{ 2020 };
  /// How long an ask may go unanswered until another home is asked.
  duration mAskTimeout = std::chrono::milliseconds{ 100 };
  /// The longest that a home keeps an ask waiting for tokens.
  duration mQueuePatience = std::chrono::milliseconds{ 250 };
  /// How long a home that was short is not asked again.
  duration mShortPause = std::chrono::milliseconds{ 50 };
  /// How long a home that did not answer is not asked again.
  duration mSuspectPause = std::chrono::seconds{ 1 };
  /// How often spent loans are reported to their homes.
  duration mReportInterval = std::chrono::milliseconds{ 250 };
};

}
