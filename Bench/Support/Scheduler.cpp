#include <Bench/Support/Scheduler.h>

#include <algorithm>

namespace lycheeseam::bench {

void
scheduler::At(instant aTime, action aAction)
{
  mEntries.push({ .mAt = std::max(aTime, mNow),
                  .mOrder = ++mLastOrder,
                  .mAction = std::move(aAction) });
}

void
scheduler::RunUntil(instant aEnd)
{
  while (!mEntries.empty() && mEntries.top().mAt <= aEnd) {
    entry const next = mEntries.top();
    mEntries.pop();
    mNow = next.mAt;
    next.mAction();
  }
  mNow = aEnd;
}

}
