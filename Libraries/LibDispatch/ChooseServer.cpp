#include <LibDispatch/ChooseServer.h>
#include <LibDispatch/RendezvousRank.h>

#include <algorithm>
#include <limits>

namespace lycheeseam {

namespace {

// Bounded loads: a server gets prompts while its pressure is at most
// kLoadFactor times the mean pressure plus kLoadAllowance, which is in the unit
// of the pressure: 1 is a server's full capacity. Beyond this bound, prompts go
// to the next server by rank.
constexpr double kLoadFactor = 1.25;
constexpr double kLoadAllowance = 0.12;

// Above this part of its slots or memory an engine's requests slow each other
// down, so that servers with older weights are the better choice.
constexpr double kBusyPressure = 0.6;

// Up to this pressure of the other servers, small requests leave those with a
// rate limit to large requests.
constexpr double kOverloadedPressure = 2;

// Servers with newer weights get at most this many times the requests that
// they would get if all servers were equal. An instance of a large fleet sees
// too few of a server's requests to notice that its servers are overloaded.
constexpr double kNewWeightsFactor = 2;

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

// True when nothing but its pause or its rate limit keeps the request from the
// server.
bool
IsUsable(tracked_server const& aServer, server_choice_request const& aRequest)
{
  if (aServer.IsLeaving() || aServer.mIsUpdating)
    return false;
  if (IsOutdated(aServer, aRequest))
    return false;
  if (aRequest.mSoftware &&
      aServer.mRegistered.mSoftware != *aRequest.mSoftware)
    return false;
  if (!aRequest.mAllowedSoftware.Allows(aServer.mRegistered.mSoftware))
    return false;
  breaker_state const breaker = aServer.mBreaker.State(aRequest.mNow);
  bool const isProbed =
    breaker == breaker_state::HalfOpen && aServer.mInFlight > 0;
  if (breaker == breaker_state::Open || isProbed)
    return false;
  return std::find(aRequest.mTried.begin(),
                   aRequest.mTried.end(),
                   aServer.mRegistered.mId) == aRequest.mTried.end();
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

// Groups servers by the version of their weights, newest first.
std::vector<std::vector<tracked_server*>>
GroupByVersion(std::vector<tracked_server*> aServers, model_name const& aModel)
{
  auto const isNewer = [&aModel](tracked_server const* aLeft,
                                 tracked_server const* aRight) {
    return aLeft->mRegistered.VersionOf(aModel) >
           aRight->mRegistered.VersionOf(aModel);
  };
  std::stable_sort(aServers.begin(), aServers.end(), isNewer);
  std::vector<std::vector<tracked_server*>> groups;
  for (tracked_server* const server : aServers) {
    if (groups.empty() || isNewer(groups.back().back(), server))
      groups.emplace_back();
    groups.back().push_back(server);
  }
  return groups;
}

// True when the request is larger than those that the servers got of late.
bool
IsLarge(std::span<tracked_server* const> aServers,
        server_choice_request const& aRequest)
{
  double sum = 0;
  for (tracked_server const* const server : aServers)
    sum += server->mAverageTokens;
  return static_cast<double>(aRequest.mTokens) *
           static_cast<double>(aServers.size()) >=
         sum;
}

tracked_server*
PreferredEngine(std::span<tracked_server* const> aServers,
                server_choice_request const& aRequest)
{
  return aRequest.mPromptKey ? PreferredForPrompt(aServers, aRequest)
                             : LeastLoaded(aServers, aRequest);
}

// The preferred server of a group with equal weights, unless it is busy. A rate
// limit counts requests of any size, so the servers with a limit relieve the
// others most with large requests.
tracked_server*
PreferredInGroup(std::vector<tracked_server*>& aGroup,
                 server_choice_request const& aRequest)
{
  auto const unlimited = std::stable_partition(
    aGroup.begin(), aGroup.end(), [](tracked_server const* aServer) {
      return aServer->mLimit.RequestsPerSecond().has_value();
    });
  std::span<tracked_server* const> const limitedPart{ aGroup.begin(),
                                                      unlimited };
  std::span<tracked_server* const> const otherPart{ unlimited, aGroup.end() };
  auto const preferred = [&aRequest](std::span<tracked_server* const> aServers,
                                     double aPressure) {
    tracked_server* const server = PreferredEngine(aServers, aRequest);
    bool const isFree =
      server != nullptr && server->Pressure(aRequest.mNow) < aPressure;
    return isFree ? server : nullptr;
  };
  if (!limitedPart.empty() && IsLarge(aGroup, aRequest)) {
    tracked_server* const first = preferred(limitedPart, kBusyPressure);
    return first != nullptr ? first : preferred(otherPart, kBusyPressure);
  }
  if (limitedPart.empty())
    return preferred(otherPart, kBusyPressure);
  tracked_server* const first = preferred(otherPart, kOverloadedPressure);
  return first != nullptr ? first : preferred(limitedPart, kBusyPressure);
}

// Prefers the newest weights, and goes on to older ones when the servers with
// newer ones are busy or have had their part of the requests; the least loaded
// server when all are busy.
tracked_server*
ChooseEngine(std::vector<tracked_server*> const& aServers,
             server_choice_request const& aRequest)
{
  std::size_t remaining = aServers.size();
  for (std::vector<tracked_server*>& group :
       GroupByVersion(aServers, aRequest.mModel)) {
    double const part = kNewWeightsFactor * static_cast<double>(group.size()) /
                        static_cast<double>(remaining);
    remaining -= group.size();
    if (aRequest.mSample >= part)
      continue;
    if (tracked_server* const preferred = PreferredInGroup(group, aRequest))
      return preferred;
  }
  return LeastLoaded(aServers, aRequest);
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
  std::uint64_t const version = aChosen.mRegistered.VersionOf(aRequest.mModel);
  return HighestRanked(
    aServers, *aRequest.mPromptKey, [&](tracked_server const& aServer) {
      return &aServer != &aChosen && !aServer.mIsUpdating &&
             aServer.mRegistered.VersionOf(aRequest.mModel) == version &&
             aServer.mBreaker.State(aRequest.mNow) != breaker_state::Open;
    });
}

}
