#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/TopicRelay.h>

#include <chrono>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Decides which range of a topic the next relay covers, and whether a relay
/// without records is due. Every relay begins where the last one with records
/// ended, so that an instance that missed relays without records, or whose
/// parent doesn't pass them on, lacks nothing. Runs on the control thread.
class relay_range
{
public:
  /// The relay to send for the records from aFrom to aEnd, of which aSelected
  /// have to be sent; nothing while none is due.
  [[nodiscard]] std::optional<topic_relay> Make(
    instant aNow,
    store_topic aTopic,
    store_position aFrom,
    store_position aEnd,
    std::vector<keyed_record> aSelected);

  /// True once a relay of the era has been sent or applied.
  [[nodiscard]] bool HasBegunIn(store_era aEra) const
  {
    return mBase && mBase->Era() == aEra;
  }

  /// All records before aEnd have been sent.
  void OnSent(store_position aEnd);

  /// A peer's relay has been applied; aIsNew is true when any of its records
  /// was newer than what was known.
  void OnApplied(topic_relay const& aRelay, bool aIsNew);

private:
  // The end tells others that the store answers; reports are as frequent.
  static constexpr std::chrono::milliseconds kEmptyInterval{ 150 };

  /// No record from here to the last applied one has to be sent.
  std::optional<store_position> mBase;
  /// The end of the last relay.
  store_position mSentEnd;
  instant mSentAt{};
};

}
