#include <LibFleet/ReaderElection.h>

#include <algorithm>

namespace lycheeseam {

void
reader_election::OnRead(instant aNow, bool aWasAnswered)
{
  if (aWasAnswered)
    mAnsweredAt = aNow;
}

void
reader_election::OnPeerEnd(instant aNow,
                           store_position aOwnEnd,
                           store_position aPeerEnd)
{
  // A peer that lags as well says nothing about the records that another has.
  mHighestPeerEnd = std::max(mHighestPeerEnd, aPeerEnd);
  if (mHighestPeerEnd <= aOwnEnd) {
    mLaggingSince.reset();
    return;
  }
  if (!mLaggingSince)
    mLaggingSince = aNow;
  if (aNow - *mLaggingSince < kLagTolerance)
    return;
  mLaggingSince = aNow + kLagRetryDelay;
  RequestRead();
}

bool
reader_election::IsDue(instant aNow, bool aHasReader) const
{
  return mIsReadRequested || (!aHasReader && aNow >= mNextReadAt);
}

bool
reader_election::IsReading(instant aNow) const
{
  return mAnsweredAt != instant{} && aNow - mAnsweredAt < kAnswerFreshness;
}

}
