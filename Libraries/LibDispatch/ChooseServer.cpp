#include <LibDispatch/ChooseServer.h>

#include <algorithm>
#include <limits>

namespace lycheeseam {

namespace {

// Bounded load: a server may have this much of the mean, and this part of its
// places besides, before prompts go on to the next one.
constexpr double kLoadFactor = 1.25;
constexpr double kLoadAllowance = 0.12;

// Beyond this part of its places or memory an engine's requests slow each
// other down, so that servers with older weights are the better choice.
constexpr double kBusyPressure = 0.6;

// Answers on weights that were replaced so long ago are refused or worthless.
bool
IsOutdated(served_server const& aServer, server_choice_request const& aRequest)
{
  if (aRequest.mWeights == nullptr)
    return false;
  std::optional<instant> const replaced = aRequest.mWeights->ReplacedSince(
    aServer.mListed.VersionOf(aRequest.mModel));
  return replaced && aRequest.mNow - *replaced > aRequest.mOutdatedAfter;
}

bool
MayTakeWork(served_server const& aServer, server_choice_request const& aRequest)
{
  if (aServer.mListed.mStage != server_stage::Ready || aServer.mIsTurning)
    return false;
  if (IsOutdated(aServer, aRequest))
    return false;
  breaker_state const breaker = aServer.mBreaker.State(aRequest.mNow);
  bool const isProbed =
    breaker == breaker_state::HalfOpen && aServer.mInFlight > 0;
  if (breaker == breaker_state::Open || isProbed)
    return false;
  return std::find(aRequest.mTried.begin(),
                   aRequest.mTried.end(),
                   aServer.mListed.mId) == aRequest.mTried.end();
}

std::vector<served_server*>
Usable(std::span<served_server* const> aServers,
       server_choice_request const& aRequest)
{
  std::vector<served_server*> usable;
  for (served_server* const server : aServers) {
    if (MayTakeWork(*server, aRequest))
      usable.push_back(server);
  }
  return usable;
}

double
MeanPressure(std::span<served_server* const> aServers, instant aNow)
{
  double sum = 0;
  for (served_server const* const server : aServers)
    sum += server->Pressure(aNow);
  return aServers.empty() ? 0 : sum / static_cast<double>(aServers.size());
}

served_server*
LeastLoaded(std::span<served_server* const> aServers,
            server_choice_request const& aRequest)
{
  served_server* best = nullptr;
  double bestPressure = std::numeric_limits<double>::max();
  for (served_server* const server : aServers) {
    double const pressure = server->Pressure(aRequest.mNow);
    bool const isNearer = best != nullptr &&
                          best->mListed.mDomain != aRequest.mDomain &&
                          server->mListed.mDomain == aRequest.mDomain;
    if (pressure < bestPressure || (pressure == bestPressure && isNearer)) {
      best = server;
      bestPressure = pressure;
    }
  }
  return best;
}

// The server with the highest rank for a prompt among those that pass.
template<typename Predicate>
served_server*
HighestRanked(std::span<served_server* const> aServers,
              std::uint64_t aPromptKey,
              Predicate aPasses)
{
  served_server* best = nullptr;
  std::uint64_t bestRank = 0;
  for (served_server* const server : aServers) {
    if (!aPasses(*server))
      continue;
    std::uint64_t const rank = RendezvousRank(aPromptKey, server->mSeed);
    if (best == nullptr || rank > bestRank) {
      best = server;
      bestRank = rank;
    }
  }
  return best;
}

served_server*
FirstInOrder(std::span<served_server* const> aServers,
             server_choice_request const& aRequest)
{
  double const bound =
    kLoadFactor * MeanPressure(aServers, aRequest.mNow) + kLoadAllowance;
  return HighestRanked(aServers,
                       *aRequest.mPromptKey,
                       [&aRequest, bound](served_server const& aServer) {
                         return aServer.Pressure(aRequest.mNow) <= bound;
                       });
}

// By the version of their weights, the newest first.
std::vector<std::vector<served_server*>>
GroupByVersion(std::vector<served_server*> aServers, model_name const& aModel)
{
  auto const isNewer = [&aModel](served_server const* aLeft,
                                 served_server const* aRight) {
    return aLeft->mListed.VersionOf(aModel) > aRight->mListed.VersionOf(aModel);
  };
  std::stable_sort(aServers.begin(), aServers.end(), isNewer);
  std::vector<std::vector<served_server*>> groups;
  for (served_server* const server : aServers) {
    if (groups.empty() || isNewer(groups.back().back(), server))
      groups.emplace_back();
    groups.back().push_back(server);
  }
  return groups;
}

// Servers with the newest weights while they can bear the load, else those
// with older ones.
served_server*
ChooseEngine(std::vector<served_server*> const& aServers,
             server_choice_request const& aRequest)
{
  for (std::vector<served_server*> const& group :
       GroupByVersion(aServers, aRequest.mModel)) {
    served_server* const first = aRequest.mPromptKey
                                   ? FirstInOrder(group, aRequest)
                                   : LeastLoaded(group, aRequest);
    if (first != nullptr && first->Pressure(aRequest.mNow) < kBusyPressure)
      return first;
  }
  return LeastLoaded(aServers, aRequest);
}

}

std::uint64_t
RendezvousRank(std::uint64_t aPromptKey, std::uint64_t aServerSeed)
{
  // The finalizer of splitmix64, which spreads each bit over all others.
  std::uint64_t value = aPromptKey ^ aServerSeed;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

served_server*
ChooseServer(std::span<served_server* const> aServers,
             server_choice_request const& aRequest)
{
  std::vector<served_server*> const usable = Usable(aServers, aRequest);
  if (!aRequest.mModel.IsEmpty())
    return ChooseEngine(usable, aRequest);
  return LeastLoaded(usable, aRequest);
}

served_server*
ChooseCacheSource(std::span<served_server* const> aServers,
                  server_choice_request const& aRequest,
                  served_server const& aChosen)
{
  if (!aRequest.mPromptKey)
    return nullptr;
  std::uint64_t const version = aChosen.mListed.VersionOf(aRequest.mModel);
  return HighestRanked(
    aServers, *aRequest.mPromptKey, [&](served_server const& aServer) {
      return &aServer != &aChosen && !aServer.mIsTurning &&
             aServer.mListed.VersionOf(aRequest.mModel) == version &&
             aServer.mBreaker.State(aRequest.mNow) != breaker_state::Open;
    });
}

}
