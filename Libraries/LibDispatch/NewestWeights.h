#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <algorithm>
#include <concepts>
#include <span>
#include <vector>

/// \file The order in which servers with different weights are considered.

namespace lycheeseam {

/// Returns the best of servers with equal weights for a request, or null.
template<typename Preferred>
concept server_preference = requires(Preferred aPreferred,
                                     std::span<tracked_server* const> aServers)
{
  {
    aPreferred(aServers)
    } -> std::convertible_to<tracked_server*>;
};

/// Given the part of the requests that a group of servers may get, true when
/// this request is one of them.
template<typename Admitted>
concept group_admission = requires(Admitted aAdmitted, double aPart)
{
  {
    aAdmitted(aPart)
    } -> std::convertible_to<bool>;
};

/// Groups servers by the version of their weights, newest first.
std::vector<std::vector<tracked_server*>>
GroupByVersion(std::vector<tracked_server*> aServers, model_name const& aModel);

/// True when the request is larger than those that the servers got of late.
bool
IsLarge(std::span<tracked_server* const> aServers,
        server_choice_request const& aRequest);

/// The preferred server of a group with equal weights; null when it is busy. A
/// rate limit counts requests of any size, so the servers with a limit relieve
/// the others most with large requests.
template<server_preference Preferred>
tracked_server*
PreferredInGroup(std::vector<tracked_server*>& aGroup,
                 server_choice_request const& aRequest,
                 Preferred aPreferred)
{
  // Above this part of its slots or memory an engine's requests slow each other
  // down, so that servers with older weights are the better choice.
  constexpr double kBusyPressure = 0.6;
  // Up to this pressure of the other servers, small requests leave those with a
  // rate limit to large requests.
  constexpr double kOverloadedPressure = 2;
  auto const unlimited = std::stable_partition(
    aGroup.begin(), aGroup.end(), [](tracked_server const* aServer) {
      return aServer->mLimit.RequestsPerSecond().has_value();
    });
  std::span<tracked_server* const> const limitedPart{ aGroup.begin(),
                                                      unlimited };
  std::span<tracked_server* const> const otherPart{ unlimited, aGroup.end() };
  auto const preferred = [&](std::span<tracked_server* const> aServers,
                             double aPressure) {
    tracked_server* const server = aPreferred(aServers);
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

/// Prefers the newest weights, and goes on to older ones when the servers with
/// newer ones are busy or have had their part of the requests; null when all
/// are busy.
template<server_preference Preferred, group_admission Admitted>
tracked_server*
ChooseNewestWeights(std::vector<tracked_server*> const& aServers,
                    server_choice_request const& aRequest,
                    Preferred aPreferred,
                    Admitted aAdmitted)
{
  // Servers with newer weights get at most this many times the requests that
  // they would get if all servers were equal. An instance of a large fleet sees
  // too few of a server's requests to notice that its servers are overloaded.
  constexpr double kNewWeightsFactor = 2;
  std::size_t remaining = aServers.size();
  for (std::vector<tracked_server*>& group :
       GroupByVersion(aServers, aRequest.mModel)) {
    double const part = kNewWeightsFactor * static_cast<double>(group.size()) /
                        static_cast<double>(remaining);
    remaining -= group.size();
    if (!aAdmitted(part))
      continue;
    if (tracked_server* const preferred =
          PreferredInGroup(group, aRequest, aPreferred))
      return preferred;
  }
  return nullptr;
}

}
