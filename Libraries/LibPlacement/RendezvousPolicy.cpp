#include <LibPlacement/RendezvousPolicy.h>
#include <LibPlacement/RendezvousRank.h>

#include <algorithm>
#include <cmath>

namespace lycheeseam {

namespace {

std::uint32_t
LoadOf(placement_candidate const& aCandidate)
{
  return std::max(aCandidate.mLoad.mRunning, aCandidate.mOutstanding);
}

/// The maximum number of requests of a server, the new one included.
double
LoadBound(std::span<placement_candidate const> aCandidates)
{
  double total = 1;
  double eligible = 0;
  for (placement_candidate const& candidate : aCandidates) {
    if (!candidate.IsEligible())
      continue;
    total += LoadOf(candidate);
    ++eligible;
  }
  if (eligible == 0)
    return 0;
  return std::ceil(rendezvous_policy::kLoadBound * total / eligible);
}

}

std::optional<placement_choice>
rendezvous_policy::Choose(placement_request const& aRequest,
                          std::span<placement_candidate const> aCandidates,
                          instant /*aNow*/) const
{
  double const bound = LoadBound(aCandidates);
  std::optional<std::size_t> best;
  std::uint64_t bestRank = 0;
  std::uint64_t ownerRank = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    placement_candidate const& candidate = aCandidates[index];
    std::uint64_t const rank =
      RendezvousRank(aRequest.mRoot, candidate.mServer.Text());
    ownerRank = std::max(ownerRank, rank);
    bool const isBelowBound = LoadOf(candidate) + 1.0 <= bound;
    if (!candidate.IsEligible() || !isBelowBound)
      continue;
    if (!best || rank > bestRank) {
      best = index;
      bestRank = rank;
    }
  }
  if (!best)
    return std::nullopt;
  return placement_choice{ .mIndex = *best,
                           .mServer = aCandidates[*best].mServer,
                           .mReason = bestRank == ownerRank
                                        ? placement_reason::HashOwner
                                        : placement_reason::HashNext };
}

}
