#include <LibDispatch/FindServer.h>
#include <LibFleet/RollingUpdatePlan.h>

#include <algorithm>
#include <cmath>

namespace lycheeseam {

void
turnover_plan::DropDone(std::span<registered_server const> aServers)
{
  std::erase_if(mTurns, [aServers](auto const& aEntry) {
    registered_server const* const server = FindServer(aServers, aEntry.first);
    return server == nullptr ||
           server->mIncarnation != aEntry.second.mIncarnation ||
           server->mStage != server_stage::Ready ||
           server->VersionOf(aEntry.second.mModel) >= aEntry.second.mTarget;
  });
}

turnover_plan::pool_census
turnover_plan::Count(std::span<registered_server const> aServers,
                     target_weights const& aNamed) const
{
  pool_census pools;
  for (registered_server const& server : aServers) {
    std::uint64_t const version = server.VersionOf(aNamed.mModel);
    if (version == 0 || server.mStage != server_stage::Ready)
      continue;
    census& pool = pools[server.mPool];
    ++pool.mSize;
    if (mTurns.contains(server.mId))
      ++pool.mUpdating;
    else if (version >= aNamed.Newest())
      ++pool.mTurned;
    else
      pool.mBehind.push_back(&server);
  }
  return pools;
}

std::size_t
turnover_plan::MostTurning(census const& aPool) const
{
  double const size = static_cast<double>(aPool.mSize);
  std::size_t const first =
    static_cast<std::size_t>(std::ceil(size * mTiming.mFirstPart));
  std::size_t const later =
    static_cast<std::size_t>(std::ceil(size * mTiming.mLaterPart));
  return std::max<std::size_t>(1, aPool.mTurned >= first ? later : first);
}

void
turnover_plan::Update(instant aNow,
                      std::span<registered_server const> aServers,
                      std::span<target_weights const> aWeights)
{
  DropDone(aServers);
  for (target_weights const& named : aWeights) {
    auto const isOlder = [&named](registered_server const* aLeft,
                                  registered_server const* aRight) {
      return aLeft->VersionOf(named.mModel) < aRight->VersionOf(named.mModel);
    };
    pool_census pools = Count(aServers, named);
    for (pool_census::value_type& entry : pools) {
      census& pool = entry.second;
      std::stable_sort(pool.mBehind.begin(), pool.mBehind.end(), isOlder);
      std::size_t const most = MostTurning(pool);
      std::size_t const room = most - std::min(most, pool.mUpdating);
      pool.mBehind.resize(std::min(room, pool.mBehind.size()));
      for (registered_server const* const server : pool.mBehind)
        Begin(aNow, *server, named);
    }
  }
}

void
turnover_plan::Begin(instant aNow,
                     registered_server const& aServer,
                     target_weights const& aNamed)
{
  mTurns[aServer.mId] = { .mIncarnation = aServer.mIncarnation,
                          .mModel = aNamed.mModel,
                          .mTarget = aNamed.Newest(),
                          .mOrderAt = aNow + mTiming.mNotice,
                          .mAskAt = aNow };
}

std::set<backend_server_id>
turnover_plan::Turning() const
{
  std::set<backend_server_id> turning;
  for (auto const& [id, turn] : mTurns)
    turning.insert(id);
  return turning;
}

std::vector<backend_server_id>
turnover_plan::DueOrders(instant aNow) const
{
  std::vector<backend_server_id> due;
  for (auto const& [id, turn] : mTurns) {
    if (!turn.mIsOrdered && turn.mOrders && aNow >= turn.mOrderAt)
      due.push_back(id);
  }
  return due;
}

std::vector<backend_server_id>
turnover_plan::DueQuestions(instant aNow) const
{
  std::vector<backend_server_id> due;
  for (auto const& [id, turn] : mTurns) {
    bool const isWanted = turn.mIsOrdered || !turn.mOrders;
    if (isWanted && aNow >= turn.mAskAt)
      due.push_back(id);
  }
  return due;
}

void
turnover_plan::OnOrdered(instant aNow, backend_server_id const& aServer)
{
  auto const found = mTurns.find(aServer);
  if (found == mTurns.end())
    return;
  found->second.mIsOrdered = true;
  found->second.mOrderedAt = aNow;
  found->second.mAskAt = aNow + mTiming.mFirstQuestion;
}

void
turnover_plan::OnAnswer(instant aNow,
                        backend_server_id const& aServer,
                        order_answer aAnswer)
{
  auto const found = mTurns.find(aServer);
  if (found == mTurns.end())
    return;
  switch (aAnswer) {
    case order_answer::Accepted:
    case order_answer::Unknown:
      return;
    case order_answer::Busy:
      // Its state tells what it is busy with and how many orders it accepted.
      found->second.mOrders.reset();
      found->second.mIsOrdered = false;
      found->second.mAskAt = aNow + mTiming.mBusyPause;
      return;
    case order_answer::Misdirected:
      mTurns.erase(found);
      return;
    case order_answer::Fenced:
    case order_answer::Refused:
      found->second.mIsOrdered = false;
      found->second.mOrderAt = aNow + mTiming.mRepeat;
      return;
  }
}

void
turnover_plan::OnAsked(instant aNow, backend_server_id const& aServer)
{
  auto const found = mTurns.find(aServer);
  if (found != mTurns.end())
    found->second.mAskAt = aNow + mTiming.mQuestionInterval;
}

void
turnover_plan::OnReport(instant aNow,
                        backend_server_id const& aServer,
                        engine_report const& aReport)
{
  auto const found = mTurns.find(aServer);
  if (found == mTurns.end())
    return;
  turn& known = found->second;
  if (!aReport.mIsBusy)
    known.mOrders = aReport.mOrders;
  // The report is older than the order may be, so only a calm engine some time
  // after the order shows that the order had no effect.
  bool const isIdle =
    !aReport.mIsBusy && aNow - known.mOrderedAt > mTiming.mRepeat;
  for (loaded_model const& model : aReport.mModels) {
    if (model.mModel == known.mModel && model.mVersion < known.mTarget &&
        isIdle) {
      known.mIsOrdered = false;
      known.mOrderAt = aNow;
    }
  }
}

std::uint64_t
turnover_plan::OrdersOf(backend_server_id const& aServer) const
{
  auto const found = mTurns.find(aServer);
  return found == mTurns.end() ? 0 : found->second.mOrders.value_or(0);
}

loaded_model
turnover_plan::TargetOf(backend_server_id const& aServer) const
{
  auto const found = mTurns.find(aServer);
  if (found == mTurns.end())
    return {};
  return { .mModel = found->second.mModel, .mVersion = found->second.mTarget };
}

}
