#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/TopicRelay.h>

#include <cstdint>

namespace lycheeseam {

/// Logs once a second how many of the records that peers passed on were known
/// already. Runs on the control thread.
class relay_log
{
public:
  /// A peer passed on records; aWasNew is true when any of them was newer than
  /// what was known.
  void OnRelay(instant aNow, topic_relay const& aRelay, bool aWasNew);

private:
  void Write(instant aNow);

  instant mWrittenAt{};
  std::int64_t mNewRelays = 0;
  std::int64_t mKnownRelays = 0;
  std::int64_t mKnownRecords = 0;
};

}
