#pragma once

#include <StandIns/EngineModel/CacheEvent.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace lycheeseam::standin {

/// An engine's recent cache events. To test its readers, the log can show
/// events late and drop some of them.
class cache_event_log
{
public:
  /// Records an event; ignores one without blocks unless it is Cleared.
  void Add(cache_event_kind aKind,
           std::vector<block_hash> aBlocks,
           instant aNow);

  /// The visible events from a sequence number on.
  [[nodiscard]] std::vector<cache_event> From(event_sequence aFirst,
                                              instant aNow) const;

  /// The lowest sequence number that the next visible event can have.
  [[nodiscard]] event_sequence NextVisible(instant aNow) const;

  /// The sequence number of the oldest event still held.
  [[nodiscard]] event_sequence Earliest() const;

  /// Sets how long after it happened an event becomes visible.
  void SetDelay(duration aDelay) { mDelay = aDelay; }

  /// Drops every Nth event, so that its sequence number is missing; 0 drops
  /// none.
  void SetLostEvery(std::uint64_t aEvery) { mLostEvery = aEvery; }

private:
  duration mDelay{};
  std::uint64_t mLostEvery = 0;
  event_sequence mNext{ 1 };
  std::deque<cache_event> mEvents;
};

}
