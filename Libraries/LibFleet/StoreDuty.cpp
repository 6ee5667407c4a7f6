#include <LibFleet/StoreDuty.h>

namespace lycheeseam {

void
store_duty::OnRead(instant aNow, bool aWasAnswered)
{
  if (aWasAnswered)
    mAnsweredAt = aNow;
}

bool
store_duty::IsDue(instant aNow, bool aHasReader) const
{
  return mIsWanted || (!aHasReader && aNow >= mNextAt);
}

bool
store_duty::IsReading(instant aNow) const
{
  return mAnsweredAt != instant{} && aNow - mAnsweredAt < kFresh;
}

}
