#pragma once

#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/PrefixCostOptions.h>
#include <LibPlacement/RendezvousPolicy.h>

namespace lycheeseam {

/// Chooses the backend server with the lowest expected cost until the first
/// token: the wait in its queue, the round trip to its failure domain, and the
/// time to compute what is not cached or to import it from the KV store,
/// whichever is shorter.
///
/// A hot prefix spreads to further servers: once the wait at the servers that
/// cache it is longer than computing it elsewhere, another server computes it
/// and caches it from then on.
class prefix_cost_policy
{
public:
  explicit prefix_cost_policy(prefix_cost_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::span<placement_candidate const> aCandidates,
    instant aNow) const;

private:
  [[nodiscard]] placement_choice Estimate(placement_request const& aRequest,
                                          placement_candidate const& aCandidate,
                                          instant aNow) const;
  [[nodiscard]] duration ExpectedWait(placement_request const& aRequest,
                                      placement_candidate const& aCandidate,
                                      instant aNow) const;
  /// The time to compute the tokens, plus its cost to requests queued behind.
  [[nodiscard]] duration PrefillTime(token_count aTokens) const;
  [[nodiscard]] duration ImportTime(token_count aTokens) const;

  prefix_cost_options mOptions;
  /// Decides when the lookup was not answered.
  rendezvous_policy mHashPolicy;
};

static_assert(placement_policy<prefix_cost_policy>);

}
