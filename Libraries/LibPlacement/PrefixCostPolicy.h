#pragma once

#include <LibPlacement/PlacementPolicy.h>
#include <LibPlacement/PrefixCostOptions.h>
#include <LibPlacement/RendezvousPolicy.h>

namespace lycheeseam {

/// Takes the backend server with the least expected cost of a first token:
/// the wait in its queue, the way there, and the dearer or cheaper of what is
/// cached, imported from the KV store, or computed anew.
///
/// A hot prefix spreads by itself: once the wait at its holders is longer than
/// computing it elsewhere, another server gets it and holds it from then on.
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
  [[nodiscard]] placement_choice Weigh(placement_request const& aRequest,
                                       placement_candidate const& aCandidate,
                                       instant aNow) const;
  [[nodiscard]] duration WaitAt(placement_request const& aRequest,
                                placement_candidate const& aCandidate,
                                instant aNow) const;
  [[nodiscard]] duration PrefillTime(token_count aTokens) const;
  [[nodiscard]] duration ImportTime(token_count aTokens) const;

  prefix_cost_options mOptions;
  /// Decides when there is no knowledge.
  rendezvous_policy mByHash;
};

static_assert(placement_policy<prefix_cost_policy>);

}
