#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibMembership/FreshnessVerdict.h>
#include <LibOnce/LogState.h>

#include <concepts>

namespace lycheeseam {

/// The state of this instance and the others that decisions on requests may
/// read.
template<typename View>
concept instance_view = requires(View const& aView,
                                 instance_identity const& aIdentity,
                                 instant aNow)
{
  /// Whether this instance's state is fresh enough to decide on requests that
  /// need a key.
  {
    aView.Freshness(aNow)
    } -> std::same_as<freshness_verdict>;
  /// Whether this instance reaches the log.
  {
    aView.Log(aNow)
    } -> std::same_as<log_state>;
  /// Whether new requests are accepted: not towards the end of a planned stop.
  {
    aView.Accepts(aNow)
    } -> std::same_as<bool>;
  /// Whether that incarnation of an instance may still be running.
  {
    aView.IsAlive(aIdentity)
    } -> std::same_as<bool>;
};

}
