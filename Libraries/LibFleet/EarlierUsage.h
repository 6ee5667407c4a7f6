#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibDispatch/WorkspaceUsage.h>

#include <map>

namespace lycheeseam {

/// The usage that a root reported last over a link that has closed since.
struct earlier_usage
{
  instance_identity mPeer;
  instant mReportedAt{};
  std::map<workspace_id, workspace_usage> mUsage;
};

}
