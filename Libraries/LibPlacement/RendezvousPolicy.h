#pragma once

#include <LibPlacement/PlacementPolicy.h>

namespace lycheeseam {

/// Takes the backend server that rendezvous hashing gives the prompt's root,
/// passing over those whose load is above a bound.
class rendezvous_policy
{
public:
  /// How far above the mean a server's outstanding work may be, as a factor.
  static constexpr double kLoadBound = 1.25;

  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::span<placement_candidate const> aCandidates,
    instant aNow) const;
};

static_assert(placement_policy<rendezvous_policy>);

}
