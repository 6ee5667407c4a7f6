#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/QuotaUnit.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// One workspace with its keys and its limits over all instances.
struct dispatch_workspace
{
  workspace_id mName;
  std::vector<std::string> mKeys;
  std::optional<std::uint32_t> mPriority;
  quota_unit mUnit = quota_unit::Requests;
  /// What a request without token counts is charged, in tokens.
  token_count mPlainTokens = 0;
  /// Units a second; 0 is no limit.
  double mRate = 0;
  double mBurst = 0;
  /// True when no cached prompt may be shared with other workspaces.
  bool mIsIsolated = false;
};

}
