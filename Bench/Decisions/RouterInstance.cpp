#include <LibCore/Verify.h>

#include <Bench/Decisions/RouterInstance.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace lycheeseam::bench {

router_instance::router_instance(std::size_t aServers,
                                 std::size_t aFailureDomains,
                                 std::uint32_t aWindow,
                                 failure_domain aFailureDomain,
                                 any_policy aPolicy)
  : mWindow(aWindow)
  , mFailureDomain(std::move(aFailureDomain))
  , mPolicy(aPolicy)
  , mServers(aServers)
  , mCandidates(aServers)
{
  for (std::size_t index = 0; index < aServers; ++index) {
    mServers[index].mWindow.SetLimit(aWindow);
    mCandidates[index].mServer = ServerName(index);
    mCandidates[index].mFailureDomain = DomainName(index % aFailureDomains);
  }
}

std::span<placement_candidate const>
router_instance::Candidates(instant aNow)
{
  for (std::size_t index = 0; index < mServers.size(); ++index) {
    server_view const& view = mServers[index];
    placement_candidate& candidate = mCandidates[index];
    candidate.mIncarnation = view.mIncarnation;
    candidate.mLoad = view.mLoad.Load();
    candidate.mSentTokens = view.mLoad.SentTokens();
    candidate.mOutstanding = view.mWindow.Outstanding();
    candidate.mWindow = static_cast<std::uint32_t>(
      std::ceil(mWindow * view.mSlowStart.Share(aNow)));
    candidate.mBreaker = view.mBreaker.State(aNow);
  }
  return mCandidates;
}

bool
router_instance::HasEligible(instant aNow)
{
  return std::ranges::any_of(Candidates(aNow),
                             &placement_candidate::IsEligible);
}

std::optional<placement_choice>
router_instance::Choose(placement_request aRequest, instant aNow)
{
  aRequest.mFailureDomain = mFailureDomain;
  std::span<placement_candidate const> const candidates = Candidates(aNow);
  return std::visit(
    [&](auto& aPolicy) { return aPolicy.Choose(aRequest, candidates, aNow); },
    mPolicy);
}

void
router_instance::OnReport(std::size_t aServer,
                          incarnation aIncarnation,
                          server_load const& aLoad,
                          instant aNow)
{
  server_view& view = mServers[aServer];
  if (aIncarnation < view.mIncarnation)
    return;
  if (aIncarnation > view.mIncarnation) {
    view.mIncarnation = aIncarnation;
    view.mLoad.OnRestart(aNow);
    view.mSlowStart.OnColdStart(aNow);
    view.mBreaker.OnRestart();
    mShard.OnIncarnation(ServerName(aServer), aIncarnation);
    mRecent.OnIncarnation(ServerName(aServer), aIncarnation);
  }
  view.mLoad.OnReport(aLoad);
}

void
router_instance::OnSent(std::size_t aServer,
                        token_count aUncached,
                        instant aNow)
{
  server_view& view = mServers[aServer];
  [[maybe_unused]] bool const acquired = view.mWindow.TryAcquire();
  VERIFY(acquired);
  view.mLoad.OnSent(aUncached, aNow);
}

void
router_instance::OnAlive(std::size_t aServer)
{
  mServers[aServer].mBreaker.OnSuccess();
}

void
router_instance::OnEnd(std::size_t aServer)
{
  mServers[aServer].mWindow.Release();
}

void
router_instance::OnFailure(std::size_t aServer, instant aNow)
{
  mServers[aServer].mWindow.Release();
  mServers[aServer].mBreaker.OnFailure(aNow);
}

backend_server_id
ServerName(std::size_t aIndex)
{
  return backend_server_id{ "worker-" + std::to_string(aIndex) };
}

failure_domain
DomainName(std::size_t aIndex)
{
  return failure_domain{ "domain-" + std::to_string(aIndex) };
}

}
