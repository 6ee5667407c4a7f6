#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/UsageTotals.h>
#include <LibPeer/FleetReport.h>
#include <LibPeer/FleetRoster.h>
#include <LibPeer/PeerHello.h>

#include <chrono>
#include <map>
#include <optional>

namespace lycheeseam {

/// A link to another instance, and what came over it last.
struct peer_link
{
  /// Some reports may be lost or late before the other side counts as silent.
  static constexpr std::chrono::milliseconds kSilence{ 900 };

  peer_hello mHello;
  instant mUpAt{};
  std::optional<instant> mReportedAt;
  fleet_report mReport;
  fleet_roster mRoster;
  /// What each workspace was admitted by the last report.
  std::map<workspace_id, workspace_usage> mTold;
  /// What this instance counted of it.
  usage_totals mCounted;

  [[nodiscard]] bool IsLive(instant aNow) const
  {
    return mReportedAt && aNow - *mReportedAt <= kSilence;
  }

  /// True when the other side reports through this instance.
  [[nodiscard]] bool IsChild() const
  {
    return mReportedAt && mReport.mScope == report_scope::Branch;
  }
};

}
