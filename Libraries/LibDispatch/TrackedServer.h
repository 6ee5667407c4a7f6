#pragma once

#include <LibAdmission/CircuitBreaker.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/ReportedLoad.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// What the traffic thread knows of one incarnation of a backend server beyond
/// its entry: its own requests there and what their answers showed.
struct tracked_server
{
  registered_server mRegistered;
  /// Differs from server to server; ranks servers for a prompt.
  std::uint64_t mSeed = 0;
  circuit_breaker mBreaker;
  bool mIsUpdating = false;
  /// Tokens that its memory holds; 0 for plain services.
  token_count mMemoryTokens = 0;
  /// Own requests that haven't ended.
  std::uint32_t mInFlight = 0;
  /// Their prompts and expected answers, in tokens.
  token_count mInFlightTokens = 0;
  std::optional<reported_load> mLoad;
  /// A usual request's tokens, by the own ones.
  double mUsualTokens = 0;
  /// Own requests in flight when the load was told.
  std::uint32_t mInFlightAtLoad = 0;
  /// An own request of so many tokens is sent to it.
  void OnStart(token_count aTokens);

  /// An own request has ended there.
  void OnEnd(token_count aTokens);

  /// Requests that run or wait on it now, as far as is known.
  [[nodiscard]] std::uint32_t EstimatedRequests(instant aNow) const;

  /// How full it is: its requests over its slots or their tokens over its
  /// memory, whichever binds.
  [[nodiscard]] double Pressure(instant aNow) const;
};

}
