#pragma once

#include <LibCore/Instant.h>
#include <LibPlacement/PlacementCandidate.h>

namespace lycheeseam {

/// Prompt tokens that likely wait on a backend server now: what it reported,
/// less what it has worked off since, and what this instance has sent since.
///
/// \param aPrefillRate tokens that the engine prefills in a second.
token_count
EstimateQueuedTokens(placement_candidate const& aCandidate,
                     double aPrefillRate,
                     instant aNow);

}
