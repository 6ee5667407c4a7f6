#pragma once

#include <LibAdmission/BreakerState.h>
#include <LibCore/Identifiers.h>
#include <LibPlacement/ServerLoad.h>

#include <cstdint>
#include <limits>

namespace lycheeseam {

/// The state of a backend server at a placement decision, as the control thread
/// knows it.
struct placement_candidate
{
  backend_server_id mServer;
  incarnation mIncarnation;
  failure_domain mFailureDomain;
  server_load mLoad;
  /// The uncached prompt tokens that this instance has sent since the load was
  /// measured, as it estimated them.
  token_count mSentTokens = 0;
  /// The number of open requests of this instance.
  std::uint32_t mOutstanding = 0;
  /// The maximum of mOutstanding, reduced during slow start.
  std::uint32_t mWindow = std::numeric_limits<std::uint32_t>::max();
  breaker_state mBreaker = breaker_state::Closed;

  /// Whether a request may be sent; a half-open breaker admits one at a time.
  [[nodiscard]] bool IsEligible() const
  {
    if (mBreaker == breaker_state::Open)
      return false;
    if (mBreaker == breaker_state::HalfOpen)
      return mOutstanding == 0;
    return mOutstanding < mWindow;
  }
};

}
