#pragma once

#include <LibCore/Instant.h>
#include <LibPlacement/PlacementCandidate.h>

namespace lycheeseam {

/// Estimates the prompt tokens queued at a backend server now: those that it
/// reported and those that this instance has sent since, less those that it
/// has computed since.
///
/// \param aPrefillRate tokens that the engine computes per second.
token_count
EstimateQueuedTokens(placement_candidate const& aCandidate,
                     double aPrefillRate,
                     instant aNow);

}
