#pragma once

#include <LibCore/Instant.h>
#include <LibPlacement/PlacementCandidate.h>
#include <LibPlacement/PlacementChoice.h>
#include <LibPlacement/PlacementRequest.h>

#include <concepts>
#include <optional>
#include <span>

namespace lycheeseam {

/// Chooses a backend server for a request. Without an eligible candidate it
/// chooses none, and the request waits.
template<typename Policy>
concept placement_policy =
  requires(Policy& aPolicy,
           placement_request const& aRequest,
           std::span<placement_candidate const> aCandidates,
           instant aNow)
{
  {
    aPolicy.Choose(aRequest, aCandidates, aNow)
    } -> std::same_as<std::optional<placement_choice>>;
};

}
