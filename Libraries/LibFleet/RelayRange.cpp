#include <LibFleet/RelayRange.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

std::optional<topic_relay>
relay_range::Make(instant aNow,
                  store_topic aTopic,
                  store_position aFrom,
                  store_position aEnd,
                  std::vector<keyed_record> aSelected)
{
  // A range doesn't begin in an earlier era: those who know that era only have
  // to read all records.
  store_position const base = mBase.value_or(aFrom);
  store_position const from =
    base.Era() == aEnd.Era() ? std::min(base, aFrom) : aFrom;
  mBase = from;
  bool const isDue = aEnd > mSentEnd && aNow - mSentAt >= kEmptyInterval;
  if (aSelected.empty() && !isDue)
    return std::nullopt;
  mSentEnd = aEnd;
  mSentAt = aNow;
  if (!aSelected.empty())
    mBase = aEnd;
  return topic_relay{ .mTopic = aTopic,
                      .mFrom = from,
                      .mEnd = aEnd,
                      .mRecords = std::move(aSelected) };
}

void
relay_range::OnSent(store_position aEnd)
{
  mBase = std::max(mBase.value_or(aEnd), aEnd);
  mSentEnd = std::max(mSentEnd, aEnd);
}

void
relay_range::OnApplied(topic_relay const& aRelay, bool aIsNew)
{
  if (aIsNew)
    return OnSent(aRelay.mEnd);
  if (aRelay.mIsSnapshot)
    return;
  mBase = std::max(mBase.value_or(aRelay.mFrom), aRelay.mFrom);
  mSentEnd = std::max(mSentEnd, aRelay.mEnd);
}

}
