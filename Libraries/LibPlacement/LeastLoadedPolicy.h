#pragma once

#include <LibPlacement/PlacementPolicy.h>

namespace lycheeseam {

/// Chooses the eligible backend server with the fewest tokens queued or sent
/// since its load report, and among equals the one with the fewest requests:
/// those that it reported as running or those of this instance, whichever are
/// more.
class least_loaded_policy
{
public:
  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::span<placement_candidate const> aCandidates,
    instant aNow);

private:
  /// Where the search starts, so that equal servers are chosen in turn.
  std::size_t mNext = 0;
};

static_assert(placement_policy<least_loaded_policy>);

}
