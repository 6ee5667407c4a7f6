#pragma once

#include <LibPlacement/PlacementPolicy.h>

namespace lycheeseam {

/// Takes the eligible backend server with the fewest requests: those it
/// reported to run and those of this instance, whichever are more.
class least_loaded_policy
{
public:
  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::span<placement_candidate const> aCandidates,
    instant aNow);

private:
  /// Where the search starts, so that equals are taken in turn.
  std::size_t mNext = 0;
};

static_assert(placement_policy<least_loaded_policy>);

}
