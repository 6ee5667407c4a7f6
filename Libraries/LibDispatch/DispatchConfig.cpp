#include <LibDispatch/DispatchConfig.h>

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace lycheeseam {

namespace {

bool
HasLongerPrefix(dispatch_route const& aLeft, dispatch_route const& aRight)
{
  return aLeft.mPathPrefix.size() > aRight.mPathPrefix.size();
}

cache_store
MakeCacheStore(endpoint const& aAddress)
{
  std::string const text = aAddress.Text();
  return { .mAddress = aAddress,
           .mSeed = XXH3_64bits(text.data(), text.size()) };
}

// Empty when no workspace is isolated. It depends on nothing but the names of
// the isolated ones: each instance finds the same text, also one that starts
// later and knows the newest configuration alone.
std::string
MakeSharedScope(std::span<dispatch_workspace const> aWorkspaces)
{
  std::set<std::string> isolated;
  for (dispatch_workspace const& workspace : aWorkspaces) {
    if (workspace.mIsIsolated)
      isolated.insert(workspace.mName.Text());
  }
  if (isolated.empty())
    return {};
  std::uint64_t hash = 0;
  for (std::string const& name : isolated)
    hash = XXH3_64bits_withSeed(name.data(), name.size(), hash);
  return std::to_string(hash);
}

}

dispatch_config::dispatch_config(
  std::uint64_t aVersion,
  std::vector<dispatch_route> aRoutes,
  std::vector<dispatch_pool> aPools,
  std::optional<std::vector<dispatch_workspace>> aWorkspaces,
  caller_limits aLimits)
  : mVersion(aVersion)
  , mPools(std::move(aPools))
  , mRequiresKeys(aWorkspaces.has_value())
  , mWorkspaces(
      std::move(aWorkspaces).value_or(std::vector<dispatch_workspace>{}))
  , mSharedScope(MakeSharedScope(mWorkspaces))
  , mLimits(aLimits)
{
  for (dispatch_route& route : aRoutes)
    mRoutes[route.mHost].push_back(std::move(route));
  for (routes_by_host::value_type& host : mRoutes)
    std::stable_sort(host.second.begin(), host.second.end(), HasLongerPrefix);
  for (std::size_t index = 0; index < mWorkspaces.size(); ++index) {
    for (std::string const& key : mWorkspaces[index].mKeys)
      mWorkspaceByKey.emplace(key, index);
  }
  for (dispatch_pool const& pool : mPools) {
    if (pool.mCacheStore)
      mCacheStores.push_back(MakeCacheStore(*pool.mCacheStore));
  }
}

dispatch_route const*
dispatch_config::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  auto const found = mRoutes.find(aHost);
  if (found == mRoutes.end())
    return nullptr;
  for (dispatch_route const& route : found->second) {
    if (aPath.starts_with(route.mPathPrefix))
      return &route;
  }
  return nullptr;
}

dispatch_workspace const*
dispatch_config::FindWorkspace(std::string_view aKey) const
{
  auto const found = mWorkspaceByKey.find(std::string{ aKey });
  return found == mWorkspaceByKey.end() ? nullptr : &mWorkspaces[found->second];
}

dispatch_workspace const*
dispatch_config::FindWorkspace(workspace_id const& aName) const
{
  for (dispatch_workspace const& workspace : mWorkspaces) {
    if (workspace.mName == aName)
      return &workspace;
  }
  return nullptr;
}

dispatch_pool const*
dispatch_config::FindPool(pool_name const& aName) const
{
  for (dispatch_pool const& pool : mPools) {
    if (pool.mName == aName)
      return &pool;
  }
  return nullptr;
}

}
