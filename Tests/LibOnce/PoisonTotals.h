#pragma once

namespace lycheeseam {

/// The results of all schedules of a test.
struct poison_totals
{
  int mMaxCrashes = 0;
  int mCompleted = 0;
  int mRefusedHarmless = 0;
  int mSharedSuspects = 0;
};

}
