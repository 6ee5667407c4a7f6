#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/UsageTotals.h>
#include <LibPeer/FleetReport.h>
#include <LibPeer/FleetRoster.h>
#include <LibPeer/PeerHello.h>

#include <chrono>
#include <optional>

namespace lycheeseam {

/// A link to another instance, with the last report and roster that came over
/// it.
struct peer_link
{
  /// Allows for some reports that are lost or late before the peer counts as
  /// unresponsive.
  static constexpr std::chrono::milliseconds kUnresponsiveAfter{ 900 };

  peer_hello mHello;
  /// When the link opened.
  instant mUpAt{};
  std::optional<instant> mReportedAt;
  fleet_report mReport;
  fleet_roster mRoster;
  /// The part of the reported usage that this instance has counted.
  usage_totals mCountedUsage;

  /// True while the peer's reports arrive in time.
  [[nodiscard]] bool IsLive(instant aNow) const
  {
    return mReportedAt && aNow - *mReportedAt <= kUnresponsiveAfter;
  }

  /// True when the peer is a child, which reports through this instance.
  [[nodiscard]] bool IsChild() const
  {
    return mReportedAt && mReport.mScope == report_scope::Branch;
  }
};

}
