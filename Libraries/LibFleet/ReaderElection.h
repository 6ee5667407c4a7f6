#pragma once

#include <LibCore/Instant.h>
#include <LibStore/StorePosition.h>

#include <chrono>
#include <optional>

namespace lycheeseam {

/// Decides when this instance reads a topic of the store. One elected instance
/// reads for all; the others read for themselves only while no instance does.
class reader_election
{
public:
  /// A read of the store ended.
  void OnRead(instant aNow, bool aWasAnswered);

  /// True when a read is due.
  [[nodiscard]] bool IsDue(instant aNow, bool aHasReader) const;

  /// Makes a read due at once, whichever instance is elected, as after a gap in
  /// the relayed records.
  void RequestRead() { mIsReadRequested = true; }

  /// A peer reports the position after its last record; this instance has the
  /// records before aOwnEnd. When this instance has been lagging for too long,
  /// a read is due at once.
  void OnPeerEnd(instant aNow, store_position aOwnEnd, store_position aPeerEnd);

  void OnReadStart(instant aNow)
  {
    mNextReadAt = aNow + kPollInterval;
    mIsReadRequested = false;
  }

  /// True while the store answers this instance's own reads.
  [[nodiscard]] bool IsReading(instant aNow) const;

private:
  // A configuration must be in force within 2 s of its acknowledgement, and a
  // leaving server must get no more work after 2 s; an interval below half a
  // second leaves time for a read that fails.
  static constexpr std::chrono::milliseconds kPollInterval{ 400 };
  // For this long after an answered read this instance counts as reading.
  static constexpr std::chrono::milliseconds kAnswerFreshness{ 1'100 };
  // Relayed records arrive before the next report of the peer that relayed
  // them, so a longer lag means that some were lost.
  static constexpr std::chrono::milliseconds kLagTolerance{ 300 };

  // Between two reads that are due to a lag. Reads of the store may lag too.
  static constexpr std::chrono::milliseconds kLagRetryDelay{ 700 };

  instant mNextReadAt{};
  instant mAnsweredAt{};
  /// The last position that a peer has reported as its end.
  store_position mHighestPeerEnd;
  std::optional<instant> mLaggingSince;
  bool mIsReadRequested = false;
};

}
