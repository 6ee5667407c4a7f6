#pragma once

namespace lycheeseam {

/// What all schedules together showed.
struct poison_totals
{
  int mMostCrashes = 0;
  int mCompleted = 0;
  int mRefusedInnocent = 0;
  int mSharedSuspects = 0;
};

}
