#pragma once

#include <LibAdmission/BreakerState.h>
#include <LibAdmission/CircuitBreakerOptions.h>

#include <cstdint>

namespace lycheeseam {

/// Stops requests to one backend server after repeated failures, and probes the
/// server after a backoff that doubles with each failed probe.
class circuit_breaker
{
public:
  explicit circuit_breaker(circuit_breaker_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  [[nodiscard]] breaker_state State(instant aNow) const;

  /// Closes the breaker: the server answered, be it with a refusal.
  void OnSuccess();

  /// Records a failed request: the connection was refused or broke, or the
  /// server didn't answer within the timeout.
  void OnFailure(instant aNow);

  /// Opens the breaker at once, because the server is certainly unreachable,
  /// for example when it refuses connections.
  void OnUnreachable(instant aNow);

  /// Closes the breaker: failures of an earlier incarnation don't count.
  void OnRestart() { OnSuccess(); }

private:
  void Open(instant aNow);

  circuit_breaker_options mOptions;
  std::uint32_t mFailures = 0;
  bool mIsOpen = false;
  duration mOpenFor{};
  instant mProbeAt{};
};

}
