#include <LibPlacement/LoadTracker.h>

namespace lycheeseam {

void
load_tracker::OnSent(token_count aTokens, instant aNow)
{
  mSent.push_back({ .mAt = aNow, .mTokens = aTokens });
  mSentTokens += aTokens;
  if (mSent.size() > kMaxSent)
    DropOldest();
}

void
load_tracker::OnReport(server_load const& aLoad)
{
  if (aLoad.mMeasuredAt < mLoad.mMeasuredAt)
    return;
  mLoad = aLoad;
  while (!mSent.empty() && mSent.front().mAt <= aLoad.mMeasuredAt)
    DropOldest();
}

void
load_tracker::OnRestart(instant aNow)
{
  mLoad = server_load{ .mMeasuredAt = aNow };
  mSent.clear();
  mSentTokens = 0;
}

void
load_tracker::DropOldest()
{
  mSentTokens -= mSent.front().mTokens;
  mSent.pop_front();
}

}
