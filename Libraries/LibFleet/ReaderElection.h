#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace lycheeseam {

/// When this instance is to read the store. One instance reads for all; the
/// others read for themselves only while none does.
class store_duty
{
public:
  /// A read of the store ended.
  void OnRead(instant aNow, bool aWasAnswered);

  /// True when a read is due.
  [[nodiscard]] bool IsDue(instant aNow, bool aHasReader) const;

  /// Reads at the next look whoever else reads, as after a gap in what others
  /// passed on.
  void ReadSoon() { mIsWanted = true; }

  /// A peer tells how far it has the records, of which this instance has those
  /// before aOwnEnd. Being behind for long, it reads at the next look.
  void OnPeerEnd(instant aNow, std::uint64_t aOwnEnd, std::uint64_t aPeerEnd);

  void OnStart(instant aNow)
  {
    mNextAt = aNow + kInterval;
    mIsWanted = false;
  }

  /// True while this instance's own reads are answered.
  [[nodiscard]] bool IsReading(instant aNow) const;

private:
  // Configurations are in force within two seconds of their acknowledgement,
  // and leaving servers get no more work after two; half a second leaves time
  // for a read that fails.
  static constexpr std::chrono::milliseconds kInterval{ 400 };
  static constexpr std::chrono::milliseconds kFresh{ 1'100 };
  // What a peer passes on comes before its next report.
  static constexpr std::chrono::milliseconds kBehind{ 300 };

  instant mNextAt{};
  instant mAnsweredAt{};
  std::optional<instant> mBehindSince;
  bool mIsWanted = false;
};

}
