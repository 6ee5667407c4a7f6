#pragma once

#include <LibCore/Instant.h>

#include <concepts>

namespace lycheeseam {

/// What newest_observations needs to know of a kind of observation: which
/// server it is of, when it was made, whether it is newer than another one of
/// the same server, and how long it matters.
template<typename Rule>
concept observation_rule =
  requires(typename Rule::observation const& aObservation)
{
  typename Rule::server_key;
  {
    Rule::ServerOf(aObservation)
    } -> std::convertible_to<typename Rule::server_key>;
  {
    Rule::ObservedAt(aObservation)
    } -> std::convertible_to<instant>;
  {
    Rule::IsNewer(aObservation, aObservation)
    } -> std::same_as<bool>;
  {
    Rule::kKeptTime
    } -> std::convertible_to<duration>;
};

}
