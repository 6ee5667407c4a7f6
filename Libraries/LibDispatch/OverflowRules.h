#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// When and how much of a pool's traffic leaves its failure domain.
struct overflow_rules
{
  /// The used part of the home domain's capacity above which requests begin to
  /// leave.
  double mBegin = 0.8;
  /// Below this part all requests stay again.
  double mEnd = 0.6;
  /// The share that leaves for each unit of use above mBegin. With 2, home is
  /// used to 0.88 at 1.2 times its capacity, and to 1 at twice its capacity.
  double mSurplusGain = 2;
  /// The same between mEnd and mBegin, once requests leave.
  double mBandGain = 0.5;
  /// The part of the requests already sent to other domains that counts as free
  /// there. With 0.6, at most 0.71 of what is free elsewhere gets used.
  double mSentPart = 0.6;
  /// How fast the share follows the use. Reports are up to 0.3 s old and
  /// requests run for about half a second, so that a faster share would swing.
  std::chrono::milliseconds mRise{ 1'000 };
  /// How long the use must be below mEnd until all requests stay: longer than
  /// the gaps between bursts of requests, well below the 2 s in which traffic
  /// must be back after a recovery.
  std::chrono::milliseconds mEndAfter{ 500 };
};

}
