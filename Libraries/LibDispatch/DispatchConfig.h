#pragma once

#include <LibDispatch/CacheStore.h>
#include <LibDispatch/CallerLimits.h>
#include <LibDispatch/DispatchPool.h>
#include <LibDispatch/DispatchRoute.h>
#include <LibDispatch/DispatchWorkspace.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// A complete configuration, indexed for lookups. Immutable, so the control
/// thread and the traffic thread share it without locks.
class dispatch_config
{
public:
  /// Without a list of workspaces, requests need no key. With an empty list, no
  /// key is valid.
  dispatch_config(std::uint64_t aVersion,
                  std::vector<dispatch_route> aRoutes,
                  std::vector<dispatch_pool> aPools,
                  std::optional<std::vector<dispatch_workspace>> aWorkspaces,
                  caller_limits aLimits);

  /// The host's route with the longest prefix of the path, or null.
  [[nodiscard]] dispatch_route const* FindRoute(std::string_view aHost,
                                                std::string_view aPath) const;

  /// True when requests on routes that aren't public need a valid API key.
  [[nodiscard]] bool RequiresKeys() const noexcept { return mRequiresKeys; }

  /// The workspace that an API key belongs to, or null.
  [[nodiscard]] dispatch_workspace const* FindWorkspace(
    std::string_view aKey) const;

  /// A workspace by its name, or null.
  [[nodiscard]] dispatch_workspace const* FindWorkspace(
    workspace_id const& aName) const;

  /// Names the cache scope of all workspaces that aren't isolated. Each set of
  /// isolated workspaces has another name, so that what a workspace caches
  /// before it is isolated is in no scope that others use afterwards.
  [[nodiscard]] std::string_view SharedScope() const noexcept
  {
    return mSharedScope;
  }

  /// A pool by its name, or null.
  [[nodiscard]] dispatch_pool const* FindPool(pool_name const& aName) const;

  /// The KV cache stores.
  [[nodiscard]] std::span<cache_store const> CacheStores() const noexcept
  {
    return mCacheStores;
  }

  [[nodiscard]] std::uint64_t Version() const noexcept { return mVersion; }
  [[nodiscard]] std::vector<dispatch_workspace> const& Workspaces()
    const noexcept
  {
    return mWorkspaces;
  }
  [[nodiscard]] std::vector<dispatch_pool> const& Pools() const noexcept
  {
    return mPools;
  }
  [[nodiscard]] caller_limits const& Limits() const noexcept { return mLimits; }

private:
  using routes_by_host =
    std::map<std::string, std::vector<dispatch_route>, std::less<>>;

  std::uint64_t mVersion;
  /// By host, sorted by descending length of the path prefix.
  routes_by_host mRoutes;
  std::vector<dispatch_pool> mPools;
  std::vector<cache_store> mCacheStores;
  bool mRequiresKeys;
  std::vector<dispatch_workspace> mWorkspaces;
  std::string mSharedScope;
  std::unordered_map<std::string, std::size_t> mWorkspaceByKey;
  caller_limits mLimits;
};

}
