#include <StandIns/EngineModel/CacheEventLog.h>

#include <utility>

namespace lycheeseam::standin {

namespace {

/// The most events kept. Older ones are dropped, as a real engine's bounded
/// buffer drops them.
constexpr std::size_t kMaxEvents = 65536;

}

void
cache_event_log::Add(cache_event_kind aKind,
                     std::vector<block_hash> aBlocks,
                     instant aNow)
{
  if (aBlocks.empty() && aKind != cache_event_kind::Cleared)
    return;
  event_sequence const sequence = mNext;
  mNext = mNext.Next();
  if (mLostEvery != 0 && sequence.Value() % mLostEvery == 0)
    return;
  mEvents.push_back(cache_event{ .mSequence = sequence,
                                 .mKind = aKind,
                                 .mBlocks = std::move(aBlocks),
                                 .mHappened = aNow });
  if (mEvents.size() > kMaxEvents)
    mEvents.pop_front();
}

std::vector<cache_event>
cache_event_log::From(event_sequence aFirst, instant aNow) const
{
  std::vector<cache_event> visible;
  for (cache_event const& event : mEvents) {
    if (event.mHappened + mDelay > aNow)
      break;
    if (event.mSequence >= aFirst)
      visible.push_back(event);
  }
  return visible;
}

event_sequence
cache_event_log::NextVisible(instant aNow) const
{
  event_sequence next{ 1 };
  for (cache_event const& event : mEvents) {
    if (event.mHappened + mDelay > aNow)
      break;
    next = event.mSequence.Next();
  }
  return next;
}

event_sequence
cache_event_log::Earliest() const
{
  return mEvents.empty() ? mNext : mEvents.front().mSequence;
}

}
