#pragma once

#include <StandIns/EngineModel/CacheEvent.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace lycheeseam::standin {

/// An engine's recent cache events. They can be told late and with gaps.
class cache_event_log
{
public:
  /// Records an event; nothing if no block is concerned, except for Cleared.
  void Add(cache_event_kind aKind,
           std::vector<block_hash> aBlocks,
           instant aNow);

  /// The visible events from a sequence number on.
  [[nodiscard]] std::vector<cache_event> From(event_sequence aFirst,
                                              instant aNow) const;

  /// The sequence number that the next visible event will have at least.
  [[nodiscard]] event_sequence NextVisible(instant aNow) const;

  /// The sequence number of the oldest event still held.
  [[nodiscard]] event_sequence Earliest() const;

  /// How long after it happened an event is told.
  void SetDelay(duration aDelay) { mDelay = aDelay; }

  /// Loses every Nth event, its sequence number with it; 0 loses none.
  void SetLostEvery(std::uint64_t aEvery) { mLostEvery = aEvery; }

private:
  duration mDelay{};
  std::uint64_t mLostEvery = 0;
  event_sequence mNext{ 1 };
  std::deque<cache_event> mEvents;
};

}
