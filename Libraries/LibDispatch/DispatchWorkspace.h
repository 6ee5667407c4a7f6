#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/QuotaUnit.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// A workspace's API keys and its limits, which hold for all instances
/// together.
struct dispatch_workspace
{
  workspace_id mName;
  std::vector<std::string> mKeys;
  /// Takes precedence over the route's priority; 0 is the most urgent.
  std::optional<std::uint32_t> mPriority;
  quota_unit mUnit = quota_unit::Requests;
  /// Charge of a request that states no token counts, in tokens.
  token_count mPlainTokens = 0;
  /// Units per second; 0 means unlimited.
  double mRate = 0;
  /// Units that a quota window may hold on top of the rate.
  double mBurst = 0;
  /// True when the workspace shares no cached prompts with other workspaces.
  bool mIsIsolated = false;
};

}
