#include <LibDispatch/ServerTable.h>

#include <xxhash.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// Longer than the pauses between the answers of a pool that is in use.
constexpr std::chrono::seconds kAdaptivePeriod{ 10 };

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
  mSeeds.clear();
  for (auto const& [id, server] : mServers) {
    mPools[server->mRegistered.mPool].push_back(server.get());
    mSeeds.emplace(server->mSeed, server.get());
  }
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
      return aServer->HasReportedSlowdown(aNow, kAdaptivePeriod);
    });
}

void
server_table::ApplyLoads(std::span<observed_load const> aLoads)
{
  for (observed_load const& observed : aLoads) {
    auto const found = mSeeds.find(observed.mServer);
    if (found != mSeeds.end())
      found->second->OnPeerLoad(observed.mLoad);
  }
}

void
server_table::LearnSpeed(tracked_server& aServer, speed_sample const& aSample)
{
  std::span<tracked_server* const> const servers =
    Pool(aServer.mRegistered.mPool);
  if (servers.empty())
    return;
  pool_pace& pace = mPaces[aServer.mRegistered.mPool];
  pace.Learn(aSample, aServer.mSpeed.Relative());
  aServer.mSpeed.Learn(aSample, pace.Of(aSample));
  double sum = 0;
  for (tracked_server const* const server : servers)
    sum += server->mSpeed.LogSpeed();
  double const mean = sum / static_cast<double>(servers.size());
  for (tracked_server* const server : servers)
    server->mSpeed.SetPoolMean(mean);
}

std::shared_ptr<tracked_server>
server_table::Find(backend_server_id const& aId) const
{
  auto const found = mServers.find(aId);
  return found == mServers.end() ? nullptr : found->second;
}

}
