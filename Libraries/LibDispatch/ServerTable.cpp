#include <LibDispatch/ServerTable.h>

#include <xxhash.h>

namespace lycheeseam {

namespace {

token_count
MemoryTokens(fleet_view const& aView, pool_name const& aPool)
{
  dispatch_pool const* const pool =
    aView.mConfig ? aView.mConfig->FindPool(aPool) : nullptr;
  return pool != nullptr && pool->mEngine ? pool->mEngine->mMemoryTokens : 0;
}

std::shared_ptr<served_server>
MakeServer(listed_server const& aListed)
{
  std::shared_ptr<served_server> made = std::make_shared<served_server>();
  made->mListed = aListed;
  made->mSeed =
    XXH3_64bits(aListed.mId.Text().data(), aListed.mId.Text().size());
  return made;
}

}

void
server_table::Apply(fleet_view const& aView)
{
  std::map<backend_server_id, std::shared_ptr<served_server>> next;
  for (listed_server const& listed : aView.mServers) {
    std::shared_ptr<served_server> known = Find(listed.mId);
    if (!known || known->mListed.mLife != listed.mLife) {
      known = MakeServer(listed);
    } else {
      listed_server merged = listed;
      merged.KeepNewerVersions(known->mListed);
      known->mListed = std::move(merged);
    }
    known->mIsTurning = aView.mTurning.contains(listed.mId);
    known->mMemoryTokens = MemoryTokens(aView, listed.mPool);
    next.emplace(listed.mId, std::move(known));
  }
  mServers.swap(next);
  mPools.clear();
  for (auto const& [id, server] : mServers)
    mPools[server->mListed.mPool].push_back(server.get());
}

std::span<served_server* const>
server_table::Pool(pool_name const& aPool) const
{
  auto const found = mPools.find(aPool);
  if (found == mPools.end())
    return {};
  return found->second;
}

std::shared_ptr<served_server>
server_table::Find(backend_server_id const& aId) const
{
  auto const found = mServers.find(aId);
  return found == mServers.end() ? nullptr : found->second;
}

}
