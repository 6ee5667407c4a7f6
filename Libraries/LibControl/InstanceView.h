#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibMembership/FreshnessVerdict.h>
#include <LibOnce/LogState.h>

#include <concepts>

namespace lycheeseam {

/// What decisions on requests may know of this instance and the others.
template<typename View>
concept instance_view = requires(View const& aView,
                                 instance_identity const& aIdentity,
                                 instant aNow)
{
  /// Whether this instance knows enough to decide on keyed work.
  {
    aView.Freshness(aNow)
    } -> std::same_as<freshness_verdict>;
  /// Whether the log answers.
  {
    aView.Log(aNow)
    } -> std::same_as<log_state>;
  /// Whether new requests are taken: not any more near a planned stop's end.
  {
    aView.Accepts(aNow)
    } -> std::same_as<bool>;
  /// Whether that life of an instance may still be running.
  {
    aView.IsAlive(aIdentity)
    } -> std::same_as<bool>;
};

}
