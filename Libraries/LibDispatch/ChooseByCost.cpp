#include <LibDispatch/ChooseByCost.h>
#include <LibDispatch/DrawServers.h>
#include <LibDispatch/EligibleServers.h>
#include <LibDispatch/ExpectedTime.h>
#include <LibDispatch/NewestWeights.h>
#include <LibDispatch/WeightedRank.h>

#include <algorithm>
#include <vector>

namespace lycheeseam {

namespace {

// While servers with the newest weights are few, urgent and large requests get
// this many times the part of them that the others leave.
constexpr double kUrgentPart = 1.5;
constexpr double kOtherPart = 0.5;

// Salt of the number that decides whether a request may go to a group of
// servers; the draws of servers use 0 and up.
constexpr std::uint64_t kGroupSalt = 1'000;

/// The best server so far, and the best one in the home domain.
class cheapest_server
{
public:
  explicit cheapest_server(failure_domain const& aHome)
    : mHome(aHome)
  {
  }

  void Add(tracked_server* aServer, duration aTime)
  {
    if (aTime < mTime) {
      mServer = aServer;
      mTime = aTime;
    }
    if (aServer->mRegistered.mDomain == mHome && aTime < mHomeTime) {
      mHomeServer = aServer;
      mHomeTime = aTime;
    }
  }

  /// The best one; the one in the home domain if it is slower by no more than
  /// aMargin.
  [[nodiscard]] tracked_server* Get(duration aMargin) const
  {
    bool const isHome = mHomeServer != nullptr && mHomeTime - mTime <= aMargin;
    return isHome ? mHomeServer : mServer;
  }

private:
  failure_domain const& mHome;
  tracked_server* mServer = nullptr;
  duration mTime = duration::max();
  tracked_server* mHomeServer = nullptr;
  duration mHomeTime = duration::max();
};

bool
IsInScope(tracked_server const& aServer, server_choice_request const& aRequest)
{
  bool const isHome = aServer.mRegistered.mDomain == aRequest.mDomain;
  return isHome == (aRequest.mScope == domain_scope::Home);
}

// The servers of the request's scope; all when it has none.
std::vector<tracked_server*>
ServersInScope(std::vector<tracked_server*> aServers,
               server_choice_request const& aRequest)
{
  if (aRequest.mScope == domain_scope::Any)
    return aServers;
  std::vector<tracked_server*> inScope;
  for (tracked_server* const server : aServers) {
    if (IsInScope(*server, aRequest))
      inScope.push_back(server);
  }
  return inScope.empty() ? aServers : inScope;
}

double
TokensToRead(server_choice_request const& aRequest, double aSharedPart)
{
  double const shared = static_cast<double>(aRequest.mSharedTokens);
  return static_cast<double>(aRequest.mPromptTokens) - shared +
         aSharedPart * shared;
}

// The best of a few servers that are drawn at random. The best of all would be
// the same one for all instances until the next report.
tracked_server*
BestDrawn(std::span<tracked_server* const> aServers,
          server_choice_request const& aRequest,
          placement_costs const& aCosts)
{
  cheapest_server best{ aRequest.mDomain };
  for (tracked_server* const server :
       DrawServers(aServers, aRequest, aCosts.mCandidates))
    best.Add(
      server,
      ExpectedTime(*server, aRequest, TokensToRead(aRequest, 1), aCosts));
  return best.Get({});
}

tracked_server*
BestForPrompt(std::span<tracked_server* const> aServers,
              server_choice_request const& aRequest,
              placement_costs const& aCosts)
{
  cheapest_server best{ aRequest.mDomain };
  // The first server is taken to have the shared part, and the second to fetch
  // it from there. A further copy counts as read: cheaper ones made instances
  // spread a prompt over all candidates, which evicted rarely used prompts.
  double sharedPart = 0;
  bool isRoomNeeded = true;
  for (tracked_server* const server : FirstByWeightedRank(
         aServers, *aRequest.mPromptKey, aCosts.mCandidates, aRequest.mNow)) {
    load_estimate const estimate = EstimateFor(*server, aRequest);
    if (HasMemory(*server, estimate, aRequest))
      best.Add(
        server,
        ExpectedTime(
          *server, aRequest, TokensToRead(aRequest, sharedPart), aCosts));
    isRoomNeeded = isRoomNeeded && !HasRoom(*server, estimate, aRequest);
    sharedPart = sharedPart > 0 ? 1 : aCosts.mFetchPart;
  }
  if (!isRoomNeeded)
    return best.Get(aCosts.mHomeMargin);
  // All of them are full: a popular prompt needs more servers than these.
  for (tracked_server* const server :
       DrawServers(aServers, aRequest, aCosts.mCandidates))
    best.Add(
      server,
      ExpectedTime(
        *server, aRequest, TokensToRead(aRequest, aCosts.mFetchPart), aCosts));
  return best.Get(aCosts.mHomeMargin);
}

tracked_server*
BestServer(std::span<tracked_server* const> aServers,
           server_choice_request const& aRequest,
           placement_costs const& aCosts)
{
  return FollowsPrompt(aRequest, aCosts)
           ? BestForPrompt(aServers, aRequest, aCosts)
           : BestDrawn(aServers, aRequest, aCosts);
}

}

bool
FollowsPrompt(server_choice_request const& aRequest,
              placement_costs const& aCosts)
{
  return aRequest.mPromptKey && aRequest.mSharedTokens >= aCosts.mLargeShared;
}

tracked_server*
ChooseByCost(std::span<tracked_server* const> aServers,
             server_choice_request const& aRequest,
             placement_costs const& aCosts)
{
  std::vector<tracked_server*> const servers =
    ServersInScope(EligibleServers(aServers, aRequest), aRequest);
  auto const preferred = [&](std::span<tracked_server* const> aPart) {
    return BestServer(aPart, aRequest, aCosts);
  };
  if (aRequest.mModel.IsEmpty())
    return preferred(servers);
  bool const isFirst = aRequest.mPriority == 0 || IsLarge(servers, aRequest);
  auto const isAdmitted = [&](double aPart) {
    double const factor = isFirst ? kUrgentPart : kOtherPart;
    return aPart >= 1 || DerivedSample(aRequest, kGroupSalt) < factor * aPart;
  };
  tracked_server* const chosen =
    ChooseNewestWeights(servers, aRequest, preferred, isAdmitted);
  return chosen != nullptr ? chosen : preferred(servers);
}

tracked_server*
ChooseCacheSourceBySpeed(std::span<tracked_server* const> aServers,
                         server_choice_request const& aRequest,
                         tracked_server const& aChosen)
{
  if (!aRequest.mPromptKey)
    return nullptr;
  std::vector<tracked_server*> sources;
  for (tracked_server* const server : aServers) {
    if (IsCacheSource(*server, aRequest, aChosen))
      sources.push_back(server);
  }
  std::vector<tracked_server*> const first =
    FirstByWeightedRank(sources, *aRequest.mPromptKey, 1, aRequest.mNow);
  return first.empty() ? nullptr : first.front();
}

}
