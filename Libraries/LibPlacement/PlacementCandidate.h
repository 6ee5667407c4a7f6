#pragma once

#include <LibAdmission/BreakerState.h>
#include <LibCore/Identifiers.h>
#include <LibPlacement/ServerLoad.h>

#include <cstdint>
#include <limits>

namespace lycheeseam {

/// One backend server as the control thread knows it at a decision.
struct placement_candidate
{
  backend_server_id mServer;
  incarnation mIncarnation;
  failure_domain mFailureDomain;
  server_load mLoad;
  /// Uncached prompt tokens that this instance has sent since the load was
  /// measured, by its own estimate.
  token_count mSentTokens = 0;
  /// This instance's requests that have not ended.
  std::uint32_t mOutstanding = 0;
  /// The most that mOutstanding may be, slow start included.
  std::uint32_t mWindow = std::numeric_limits<std::uint32_t>::max();
  breaker_state mBreaker = breaker_state::Closed;

  /// True when a request may be sent; a half-open breaker lets one through.
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
