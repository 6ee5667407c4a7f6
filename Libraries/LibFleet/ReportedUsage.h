#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibPeer/ReportScope.h>

#include <map>

namespace lycheeseam {

/// The usage by the last report of a peer, over whichever link it came.
struct reported_usage
{
  incarnation mIncarnation;
  report_scope mScope = report_scope::Root;
  /// When the link opened over which the report came.
  instant mLinkUpAt{};
  instant mReportedAt{};
  std::map<workspace_id, workspace_usage> mUsage;
};

}
