#include <LibDispatch/EligibleServers.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// Answers computed with weights that were replaced longer ago than
// mOutdatedAfter are refused or useless.
bool
IsOutdated(tracked_server const& aServer, server_choice_request const& aRequest)
{
  if (aRequest.mWeights == nullptr)
    return false;
  std::optional<instant> const replaced = aRequest.mWeights->ReplacedSince(
    aServer.mRegistered.VersionOf(aRequest.mModel));
  return replaced && aRequest.mNow - *replaced > aRequest.mOutdatedAfter;
}

}

bool
IsAvailable(tracked_server const& aServer, instant aNow)
{
  if (aServer.IsLeaving() || aServer.mIsUpdating)
    return false;
  breaker_state const breaker = aServer.mBreaker.State(aNow);
  bool const isProbed =
    breaker == breaker_state::HalfOpen && aServer.mInFlight > 0;
  return breaker != breaker_state::Open && !isProbed;
}

bool
IsUsable(tracked_server const& aServer, server_choice_request const& aRequest)
{
  if (!IsAvailable(aServer, aRequest.mNow))
    return false;
  if (IsOutdated(aServer, aRequest))
    return false;
  if (aRequest.mSoftware &&
      aServer.mRegistered.mSoftware != *aRequest.mSoftware)
    return false;
  if (!aRequest.mAllowedSoftware.Allows(aServer.mRegistered.mSoftware))
    return false;
  return std::find(aRequest.mTried.begin(),
                   aRequest.mTried.end(),
                   aServer.mRegistered.mId) == aRequest.mTried.end();
}

bool
IsCacheSource(tracked_server const& aServer,
              server_choice_request const& aRequest,
              tracked_server const& aChosen)
{
  return &aServer != &aChosen && !aServer.mIsUpdating &&
         aServer.mRegistered.VersionOf(aRequest.mModel) ==
           aChosen.mRegistered.VersionOf(aRequest.mModel) &&
         aServer.mBreaker.State(aRequest.mNow) != breaker_state::Open;
}

std::vector<tracked_server*>
EligibleServers(std::span<tracked_server* const> aServers,
                server_choice_request const& aRequest)
{
  std::vector<tracked_server*> eligible;
  for (tracked_server* const server : aServers) {
    if (server->NextSendAt(aRequest.mNow) <= aRequest.mNow &&
        IsUsable(*server, aRequest))
      eligible.push_back(server);
  }
  return eligible;
}

}
