#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/TopicRelay.h>

#include <cstdint>
#include <map>

namespace lycheeseam {

/// Decides which records of the store an instance passes on to its peers. Logs
/// once a second how many of those that peers passed on were known already.
/// Runs on the control thread.
class relay_filter
{
public:
  /// True for records that this instance read and that are to be passed on;
  /// aIsNew is true when any of them was newer than what it knew.
  [[nodiscard]] bool PassesOnRead(instant aNow,
                                  topic_relay const& aRelay,
                                  bool aIsNew);

  /// The same for records that a peer passed on.
  [[nodiscard]] bool PassesOnRelayed(instant aNow,
                                     topic_relay const& aRelay,
                                     bool aIsNew);

private:
  void Count(instant aNow, topic_relay const& aRelay, bool aIsNew);
  void Write(instant aNow);

  /// When a snapshot of the topic was last passed on.
  std::map<store_topic, instant> mSnapshotAt;
  instant mWrittenAt{};
  std::int64_t mNewRelays = 0;
  std::int64_t mKnownRelays = 0;
  std::int64_t mKnownRecords = 0;
};

}
