#include <LibDispatch/ChooseServer.h>
#include <LibDispatch/EligibleServers.h>
#include <LibDispatch/NewestWeights.h>
#include <LibDispatch/RendezvousRank.h>

#include <limits>
#include <vector>

namespace lycheeseam {

namespace {

// Bounded loads: a server gets prompts while its pressure is at most
// kLoadFactor times the mean pressure plus kLoadAllowance, which is in the unit
// of the pressure: 1 is a server's full capacity. Beyond this bound, prompts go
// to the next server by rank.
constexpr double kLoadFactor = 1.25;
constexpr double kLoadAllowance = 0.12;

double
MeanPressure(std::span<tracked_server* const> aServers, instant aNow)
{
  double sum = 0;
  for (tracked_server const* const server : aServers)
    sum += server->Pressure(aNow);
  return aServers.empty() ? 0 : sum / static_cast<double>(aServers.size());
}

tracked_server*
LeastLoaded(std::span<tracked_server* const> aServers,
            server_choice_request const& aRequest)
{
  tracked_server* best = nullptr;
  double bestPressure = std::numeric_limits<double>::max();
  for (tracked_server* const server : aServers) {
    double const pressure = server->Pressure(aRequest.mNow);
    bool const isNearer = best != nullptr &&
                          best->mRegistered.mDomain != aRequest.mDomain &&
                          server->mRegistered.mDomain == aRequest.mDomain;
    if (pressure < bestPressure || (pressure == bestPressure && isNearer)) {
      best = server;
      bestPressure = pressure;
    }
  }
  return best;
}

// The server with the highest rank for a prompt among those that satisfy the
// predicate, or null.
template<typename Predicate>
tracked_server*
HighestRanked(std::span<tracked_server* const> aServers,
              std::uint64_t aPromptKey,
              Predicate aPredicate)
{
  tracked_server* best = nullptr;
  std::uint64_t bestRank = 0;
  for (tracked_server* const server : aServers) {
    if (!aPredicate(*server))
      continue;
    std::uint64_t const rank = RendezvousRank(aPromptKey, server->mSeed);
    if (best == nullptr || rank > bestRank) {
      best = server;
      bestRank = rank;
    }
  }
  return best;
}

tracked_server*
PreferredForPrompt(std::span<tracked_server* const> aServers,
                   server_choice_request const& aRequest)
{
  double const bound =
    kLoadFactor * MeanPressure(aServers, aRequest.mNow) + kLoadAllowance;
  return HighestRanked(aServers,
                       *aRequest.mPromptKey,
                       [&aRequest, bound](tracked_server const& aServer) {
                         return aServer.Pressure(aRequest.mNow) <= bound;
                       });
}

tracked_server*
PreferredEngine(std::span<tracked_server* const> aServers,
                server_choice_request const& aRequest)
{
  return aRequest.mPromptKey ? PreferredForPrompt(aServers, aRequest)
                             : LeastLoaded(aServers, aRequest);
}

// Prefers the newest weights; the least loaded server when all are busy.
tracked_server*
ChooseEngine(std::vector<tracked_server*> const& aServers,
             server_choice_request const& aRequest)
{
  auto const preferred = [&aRequest](std::span<tracked_server* const> aPart) {
    return PreferredEngine(aPart, aRequest);
  };
  auto const isAdmitted = [&aRequest](double aPart) {
    return aRequest.mSample < aPart;
  };
  tracked_server* const chosen =
    ChooseNewestWeights(aServers, aRequest, preferred, isAdmitted);
  return chosen != nullptr ? chosen : LeastLoaded(aServers, aRequest);
}

}

tracked_server*
ChooseServer(std::span<tracked_server* const> aServers,
             server_choice_request const& aRequest)
{
  std::vector<tracked_server*> const eligible =
    EligibleServers(aServers, aRequest);
  if (!aRequest.mModel.IsEmpty())
    return ChooseEngine(eligible, aRequest);
  return LeastLoaded(eligible, aRequest);
}

std::optional<instant>
FirstSendAt(std::span<tracked_server* const> aServers,
            server_choice_request const& aRequest)
{
  std::optional<instant> first;
  for (tracked_server const* const server : aServers) {
    instant const sendAt = server->NextSendAt(aRequest.mNow);
    if (sendAt > aRequest.mNow && IsUsable(*server, aRequest))
      first = std::min(first.value_or(instant::max()), sendAt);
  }
  return first;
}

tracked_server*
ChooseCacheSource(std::span<tracked_server* const> aServers,
                  server_choice_request const& aRequest,
                  tracked_server const& aChosen)
{
  if (!aRequest.mPromptKey)
    return nullptr;
  return HighestRanked(
    aServers, *aRequest.mPromptKey, [&](tracked_server const& aServer) {
      return IsCacheSource(aServer, aRequest, aChosen);
    });
}

}
