#include <LibDispatch/ServerTable.h>

#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// A pool stays adaptive over pauses in its traffic, but not once its servers
// have been replaced by others that don't report their slowdown.
constexpr duration kAdaptiveTime = std::chrono::seconds{ 10 };

token_count
MemoryTokens(fleet_view const& aView, pool_name const& aPool)
{
  dispatch_pool const* const pool =
    aView.mConfig ? aView.mConfig->FindPool(aPool) : nullptr;
  return pool != nullptr && pool->mEngine ? pool->mEngine->mMemoryTokens : 0;
}

std::shared_ptr<tracked_server>
MakeServer(registered_server const& aRegistered)
{
  std::shared_ptr<tracked_server> made = std::make_shared<tracked_server>();
  made->mRegistered = aRegistered;
  made->mSeed =
    XXH3_64bits(aRegistered.mId.Text().data(), aRegistered.mId.Text().size());
  return made;
}

}

void
server_table::Apply(fleet_view const& aView)
{
  std::map<backend_server_id, std::shared_ptr<tracked_server>> next;
  for (registered_server const& registered : aView.mServers) {
    std::shared_ptr<tracked_server> known = Find(registered.mId);
    if (!known || known->mRegistered.mIncarnation != registered.mIncarnation) {
      known = MakeServer(registered);
    } else {
      registered_server merged = registered;
      merged.KeepNewerVersions(known->mRegistered);
      known->mRegistered = std::move(merged);
    }
    known->mIsUpdating = aView.mUpdating.contains(registered.mId);
    known->mMemoryTokens = MemoryTokens(aView, registered.mPool);
    next.emplace(registered.mId, std::move(known));
  }
  mServers.swap(next);
  mPools.clear();
  for (auto const& [id, server] : mServers)
    mPools[server->mRegistered.mPool].push_back(server.get());
}

std::span<tracked_server* const>
server_table::Pool(pool_name const& aPool) const
{
  auto const found = mPools.find(aPool);
  if (found == mPools.end())
    return {};
  return found->second;
}

bool
server_table::IsAdaptive(instant aNow, pool_name const& aPool) const
{
  std::span<tracked_server* const> const servers = Pool(aPool);
  return std::any_of(
    servers.begin(), servers.end(), [aNow](tracked_server const* aServer) {
      return aServer->mLoad && aServer->mLoad->mSlowdown &&
             aNow - aServer->mLoad->mReportedAt <= kAdaptiveTime;
    });
}

std::shared_ptr<tracked_server>
server_table::Find(backend_server_id const& aId) const
{
  auto const found = mServers.find(aId);
  return found == mServers.end() ? nullptr : found->second;
}

}
