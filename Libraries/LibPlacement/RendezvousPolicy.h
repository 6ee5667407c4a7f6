#pragma once

#include <LibPlacement/PlacementPolicy.h>

namespace lycheeseam {

/// Chooses the backend server that ranks highest for the prompt's root by
/// rendezvous hashing, skipping servers whose load would exceed a bound.
class rendezvous_policy
{
public:
  /// The load bound, as a factor of the mean number of requests per server.
  static constexpr double kLoadBound = 1.25;

  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::span<placement_candidate const> aCandidates,
    instant aNow) const;
};

static_assert(placement_policy<rendezvous_policy>);

}
