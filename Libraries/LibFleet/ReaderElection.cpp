#include <LibFleet/ReaderElection.h>

namespace lycheeseam {

void
store_duty::OnRead(instant aNow, bool aWasAnswered)
{
  if (aWasAnswered)
    mAnsweredAt = aNow;
}

void
store_duty::OnPeerEnd(instant aNow,
                      std::uint64_t aOwnEnd,
                      std::uint64_t aPeerEnd)
{
  if (aPeerEnd <= aOwnEnd) {
    mBehindSince.reset();
    return;
  }
  if (!mBehindSince)
    mBehindSince = aNow;
  if (aNow - *mBehindSince < kBehind)
    return;
  mBehindSince.reset();
  ReadSoon();
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
