#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// How long suspicions and permits last.
struct poison_timing
{
  /// How long a crash counts against a fingerprint.
  duration mSuspectTime = std::chrono::hours{ 1 };
  /// How long a fingerprint is refused after its second crash.
  duration mRefuseTime = std::chrono::hours{ 1 };
  /// How long a permit of a dead instance is taken to be still running.
  duration mOrphanTime = std::chrono::seconds{ 60 };
  /// How long after its start a home sends all asks to their fallbacks, while
  /// instances announce to it what they are running.
  duration mSettleTime = std::chrono::milliseconds{ 500 };
  /// How long an ask goes unanswered until the request runs without a permit,
  /// on its fallback server and only while it is no suspect.
  duration mAskTimeout = std::chrono::milliseconds{ 100 };
  /// How long a request that was told to wait waits before it asks again.
  duration mWaitPause = std::chrono::milliseconds{ 50 };
};

}
