#pragma once

#include <LibConfigLog/ConfigFold.h>

#include <string_view>
#include <vector>

/// \file Sample rows and proposals for tests of config_fold.

namespace lycheeseam {

inline pool_row
PoolRow(std::string_view aName)
{
  return { .mName = pool_name{ aName } };
}

inline route_row
RouteRow(std::string_view aName, std::string_view aPool)
{
  return { .mName = route_name{ aName },
           .mPathPrefix = "/" + std::string{ aName },
           .mPool = pool_name{ aPool } };
}

inline workspace_row
WorkspaceRow(std::string_view aName)
{
  return { .mName = workspace_id{ aName }, .mRate = 100, .mBurst = 1000 };
}

inline key_row
KeyRow(std::string_view aKey, std::string_view aWorkspace)
{
  return { .mDigest = digest::Of(aKey),
           .mWorkspace = workspace_id{ aWorkspace } };
}

/// A change that writes a row, based on version aBase.
inline any_row_change
Put(pool_row const& aRow, std::uint64_t aBase = 0)
{
  return pool_change{ aRow.mName, row_version{ aBase }, aRow };
}

inline any_row_change
Put(route_row const& aRow, std::uint64_t aBase = 0)
{
  return route_change{ aRow.mName, row_version{ aBase }, aRow };
}

inline any_row_change
Put(workspace_row const& aRow, std::uint64_t aBase = 0)
{
  return workspace_change{ aRow.mName, row_version{ aBase }, aRow };
}

inline any_row_change
Put(key_row const& aRow, std::uint64_t aBase = 0)
{
  return key_change{ aRow.mDigest, row_version{ aBase }, aRow };
}

/// A change that deletes a pool's row, based on version aBase.
inline any_row_change
DeletePool(std::string_view aName, std::uint64_t aBase)
{
  return pool_change{ pool_name{ aName }, row_version{ aBase }, std::nullopt };
}

/// A proposal that is valid up to an offset.
inline config_proposal
Proposal(std::string_view aId,
         std::vector<any_row_change> aChanges,
         std::uint64_t aLastOffset = 1000)
{
  return { .mOrigin = { .mProposal = proposal_id{ aId },
                        .mLastOffset = log_offset{ aLastOffset } },
           .mOperator = "ops",
           .mChanges = std::move(aChanges) };
}

}
