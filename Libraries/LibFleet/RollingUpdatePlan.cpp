#include <LibDispatch/FindServer.h>
#include <LibFleet/RollingUpdatePlan.h>

#include <algorithm>
#include <cmath>

namespace lycheeseam {

void
rolling_update_plan::RemoveFinished(std::span<registered_server const> aServers)
{
  std::erase_if(mUpdates, [aServers](auto const& aEntry) {
    registered_server const* const server = FindServer(aServers, aEntry.first);
    return server == nullptr ||
           server->mIncarnation != aEntry.second.mIncarnation ||
           server->mStage != server_stage::Ready ||
           server->VersionOf(aEntry.second.mModel) >=
             aEntry.second.mTargetVersion;
  });
}

rolling_update_plan::progress_by_pool
rolling_update_plan::CountByPool(std::span<registered_server const> aServers,
                                 target_weights const& aTarget) const
{
  progress_by_pool pools;
  for (registered_server const& server : aServers) {
    std::uint64_t const version = server.VersionOf(aTarget.mModel);
    if (version == 0 || server.mStage != server_stage::Ready)
      continue;
    pool_progress& pool = pools[server.mPool];
    ++pool.mSize;
    if (mUpdates.contains(server.mId))
      ++pool.mUpdating;
    else if (version >= aTarget.Newest())
      ++pool.mUpdated;
    else
      pool.mOutdated.push_back(&server);
  }
  return pools;
}

std::size_t
rolling_update_plan::MaxUpdating(pool_progress const& aPool) const
{
  double const size = static_cast<double>(aPool.mSize);
  std::size_t const first =
    static_cast<std::size_t>(std::ceil(size * mTiming.mInitialShare));
  std::size_t const later =
    static_cast<std::size_t>(std::ceil(size * mTiming.mLaterShare));
  return std::max<std::size_t>(1, aPool.mUpdated >= first ? later : first);
}

void
rolling_update_plan::Update(instant aNow,
                            std::span<registered_server const> aServers,
                            std::span<target_weights const> aWeights)
{
  RemoveFinished(aServers);
  for (target_weights const& target : aWeights) {
    auto const isOlder = [&target](registered_server const* aLeft,
                                   registered_server const* aRight) {
      return aLeft->VersionOf(target.mModel) < aRight->VersionOf(target.mModel);
    };
    progress_by_pool pools = CountByPool(aServers, target);
    for (progress_by_pool::value_type& entry : pools) {
      pool_progress& pool = entry.second;
      std::stable_sort(pool.mOutdated.begin(), pool.mOutdated.end(), isOlder);
      std::size_t const limit = MaxUpdating(pool);
      std::size_t const available = limit - std::min(limit, pool.mUpdating);
      pool.mOutdated.resize(std::min(available, pool.mOutdated.size()));
      for (registered_server const* const server : pool.mOutdated)
        StartUpdate(aNow, *server, target);
    }
  }
}

void
rolling_update_plan::StartUpdate(instant aNow,
                                 registered_server const& aServer,
                                 target_weights const& aTarget)
{
  mUpdates[aServer.mId] = { .mIncarnation = aServer.mIncarnation,
                            .mModel = aTarget.mModel,
                            .mTargetVersion = aTarget.Newest(),
                            .mOrderAt = aNow + mTiming.mNoticeTime,
                            .mStateRequestAt = aNow };
}

std::set<backend_server_id>
rolling_update_plan::Updating() const
{
  std::set<backend_server_id> updating;
  for (auto const& [id, update] : mUpdates)
    updating.insert(id);
  return updating;
}

std::vector<backend_server_id>
rolling_update_plan::DueOrders(instant aNow) const
{
  std::vector<backend_server_id> due;
  for (auto const& [id, update] : mUpdates) {
    if (!update.mIsOrdered && update.mOrders && aNow >= update.mOrderAt)
      due.push_back(id);
  }
  return due;
}

std::vector<backend_server_id>
rolling_update_plan::DueStateRequests(instant aNow) const
{
  std::vector<backend_server_id> due;
  for (auto const& [id, update] : mUpdates) {
    bool const isStateNeeded = update.mIsOrdered || !update.mOrders;
    if (isStateNeeded && aNow >= update.mStateRequestAt)
      due.push_back(id);
  }
  return due;
}

void
rolling_update_plan::OnOrdered(instant aNow, backend_server_id const& aServer)
{
  auto const found = mUpdates.find(aServer);
  if (found == mUpdates.end())
    return;
  found->second.mIsOrdered = true;
  found->second.mOrderedAt = aNow;
  found->second.mStateRequestAt = aNow + mTiming.mFirstStateRequestDelay;
}

void
rolling_update_plan::OnAnswer(instant aNow,
                              backend_server_id const& aServer,
                              order_answer aAnswer)
{
  auto const found = mUpdates.find(aServer);
  if (found == mUpdates.end())
    return;
  switch (aAnswer) {
    case order_answer::Accepted:
    case order_answer::Unknown:
      return;
    case order_answer::Busy:
      // The server's state shows whether it is still busy and how many orders
      // it has accepted.
      found->second.mOrders.reset();
      found->second.mIsOrdered = false;
      found->second.mStateRequestAt = aNow + mTiming.mBusyDelay;
      return;
    case order_answer::Misdirected:
      mUpdates.erase(found);
      return;
    case order_answer::Fenced:
    case order_answer::Refused:
      found->second.mIsOrdered = false;
      found->second.mOrderAt = aNow + mTiming.mRetryDelay;
      return;
  }
}

void
rolling_update_plan::OnStateRequested(instant aNow,
                                      backend_server_id const& aServer)
{
  auto const found = mUpdates.find(aServer);
  if (found != mUpdates.end())
    found->second.mStateRequestAt = aNow + mTiming.mStateRequestInterval;
}

void
rolling_update_plan::OnReport(instant aNow,
                              backend_server_id const& aServer,
                              engine_report const& aReport)
{
  auto const found = mUpdates.find(aServer);
  if (found == mUpdates.end())
    return;
  engine_update& known = found->second;
  if (!aReport.mIsBusy)
    known.mOrders = aReport.mOrders;
  // The report may be older than the order, so only an idle engine some time
  // after the order shows that the order had no effect.
  bool const isIdle =
    !aReport.mIsBusy && aNow - known.mOrderedAt > mTiming.mRetryDelay;
  for (loaded_model const& model : aReport.mModels) {
    if (model.mModel == known.mModel && model.mVersion < known.mTargetVersion &&
        isIdle) {
      known.mIsOrdered = false;
      known.mOrderAt = aNow;
    }
  }
}

std::uint64_t
rolling_update_plan::OrdersOf(backend_server_id const& aServer) const
{
  auto const found = mUpdates.find(aServer);
  return found == mUpdates.end() ? 0 : found->second.mOrders.value_or(0);
}

loaded_model
rolling_update_plan::TargetOf(backend_server_id const& aServer) const
{
  auto const found = mUpdates.find(aServer);
  if (found == mUpdates.end())
    return {};
  return { .mModel = found->second.mModel,
           .mVersion = found->second.mTargetVersion };
}

}
