#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibStore/StorePosition.h>

#include <chrono>
#include <map>

namespace lycheeseam {

/// Decides when a peer is sent all records of the operators that this instance
/// knows: when it has lagged for so long that those which were passed on must
/// have been lost. It may not be able to read the store itself. Runs on the
/// control thread.
class lagging_peers
{
public:
  /// The peer reports the position after its last record; this instance has the
  /// records before aOwnEnd.
  [[nodiscard]] bool IsSnapshotDue(instant aNow,
                                   instance_id const& aPeer,
                                   store_position aPeerEnd,
                                   store_position aOwnEnd);

private:
  // Relayed records arrive within one or two reports.
  static constexpr std::chrono::milliseconds kTolerance{ 400 };
  // Between two snapshots for a peer.
  static constexpr std::chrono::milliseconds kInterval{ 1'000 };

  /// When the next snapshot is due for each peer that lags.
  std::map<instance_id, instant> mDueAt;
};

}
