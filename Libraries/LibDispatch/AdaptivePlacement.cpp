#include <LibDispatch/AdaptivePlacement.h>
#include <LibDispatch/ChooseByCost.h>
#include <LibDispatch/DomainLoads.h>
#include <LibDispatch/DrawServers.h>
#include <LibDispatch/EligibleServers.h>
#include <LibDispatch/ExpectedTime.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// The share that leaves changes within a second; sums over all servers for each
// request would cost processor time for nothing.
constexpr duration kUpdateInterval = std::chrono::milliseconds{ 50 };

// Salt of the number that decides whether a request leaves its domain; the
// draws of servers use 0 and up.
constexpr std::uint64_t kLeavingSalt = 1'001;

bool
IsHome(tracked_server const& aServer, server_choice_request const& aRequest)
{
  return aServer.mRegistered.mDomain == aRequest.mDomain;
}

// True when a server of the home domain takes the request now.
bool
HasHomeServer(std::span<tracked_server* const> aServers,
              server_choice_request const& aRequest)
{
  return std::any_of(
    aServers.begin(), aServers.end(), [&](tracked_server const* aServer) {
      return IsHome(*aServer, aRequest) && IsUsable(*aServer, aRequest) &&
             aServer->NextSendAt(aRequest.mNow) <= aRequest.mNow;
    });
}

// Requests without a model run briefly and are small, so that a slot that is
// free now is all that matters.
domain_scope
PlainScope(std::span<tracked_server* const> aServers,
           server_choice_request const& aRequest)
{
  bool const isFree = std::any_of(
    aServers.begin(), aServers.end(), [&](tracked_server const* aServer) {
      return IsHome(*aServer, aRequest) && IsUsable(*aServer, aRequest) &&
             HasRoom(*aServer, EstimateFor(*aServer, aRequest), aRequest);
    });
  return isFree ? domain_scope::Home : domain_scope::Any;
}

crossing_reason
ReasonOf(tracked_server const& aServer,
         std::span<tracked_server* const> aServers,
         server_choice_request const& aRequest,
         placement_costs const& aCosts)
{
  if (IsHome(aServer, aRequest))
    return crossing_reason::None;
  if (!HasHomeServer(aServers, aRequest))
    return crossing_reason::NoHomeServer;
  return FollowsPrompt(aRequest, aCosts) ? crossing_reason::Prompt
                                         : crossing_reason::Surplus;
}

}

double
adaptive_placement::pool_state::AddTokens(token_count aTokens)
{
  // An instance sends a pool about ten requests a second, so that the mean is
  // right after a few seconds.
  constexpr double kWeight = 0.05;
  double const tokens = static_cast<double>(aTokens);
  mMeanTokens = mMeanTokens.value_or(tokens);
  *mMeanTokens += kWeight * (tokens - *mMeanTokens);
  return *mMeanTokens;
}

server_choice
adaptive_placement::Choose(pool_name const& aPool,
                           std::span<tracked_server* const> aServers,
                           server_choice_request const& aRequest)
{
  server_choice_request request = aRequest;
  request.mScope = ScopeOf(aPool, aServers, aRequest);
  request.mTypicalTokens = mPools[aPool].AddTokens(aRequest.mTokens);
  server_choice choice{ .mServer = ChooseByCost(aServers, request, mCosts) };
  if (choice.mServer != nullptr)
    choice.mCrossing = ReasonOf(*choice.mServer, aServers, request, mCosts);
  return choice;
}

double
adaptive_placement::LeavingShare(pool_name const& aPool) const
{
  auto const found = mPools.find(aPool);
  return found == mPools.end() ? 0 : found->second.mOverflow.Share();
}

domain_scope
adaptive_placement::ScopeOf(pool_name const& aPool,
                            std::span<tracked_server* const> aServers,
                            server_choice_request const& aRequest)
{
  if (aRequest.mModel.IsEmpty())
    return PlainScope(aServers, aRequest);
  pool_state& state = mPools[aPool];
  if (aRequest.mNow - state.mUpdatedAt >= kUpdateInterval) {
    state.mOverflow.Update(
      aRequest.mNow, aRequest.mDomain, DomainLoads(aServers, aRequest.mNow));
    state.mUpdatedAt = aRequest.mNow;
  }
  if (FollowsPrompt(aRequest, mCosts))
    return domain_scope::Any;
  return DerivedSample(aRequest, kLeavingSalt) < state.mOverflow.Share()
           ? domain_scope::Away
           : domain_scope::Home;
}

}
