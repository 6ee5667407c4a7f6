#pragma once

#include <LibPlacement/PlacementPolicy.h>

namespace lycheeseam {

/// Chooses the eligible backend servers in turn.
class round_robin_policy
{
public:
  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::span<placement_candidate const> aCandidates,
    instant aNow);

private:
  std::size_t mNext = 0;
};

static_assert(placement_policy<round_robin_policy>);

}
