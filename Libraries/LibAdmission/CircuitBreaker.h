#pragma once

#include <LibAdmission/BreakerState.h>
#include <LibAdmission/CircuitBreakerOptions.h>

#include <cstdint>

namespace lycheeseam {

/// Keeps work off one backend server that fails, and probes it later.
class circuit_breaker
{
public:
  explicit circuit_breaker(circuit_breaker_options aOptions = {})
    : mOptions(aOptions)
  {
  }

  [[nodiscard]] breaker_state State(instant aNow) const;

  /// An answer came, also one that refuses: the server is alive.
  void OnSuccess();

  /// The server was lost: refused, cut or silent past its timeout.
  void OnFailure(instant aNow);

  /// The server is surely not there, as when it refuses connections: opens at
  /// once.
  void OnAbsence(instant aNow);

  /// The server started anew; what its old life did no longer counts.
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
