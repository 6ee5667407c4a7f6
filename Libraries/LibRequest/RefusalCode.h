#pragma once

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// Why a request gets no answer from a backend server.
enum class refusal_code
{
  InvalidRequest,
  BodyTooLarge,
  MissingKey,
  InvalidKey,
  UnknownRoute,
  UnknownModel,
  UnknownWorkspace,
  RateExceeded,
  LargerThanBurst,
  QueueDeadline,
  Overloaded,
  NoBackendServer,
  BackendFailed,
  BackendTimeout,
  PoisonRequest,
  KeyReused,
  OutcomeUnknown,
  LogUnavailable,
  NotConfirmed,
  ShuttingDown,
};

/// The code's name in an error's body, such as "invalid_key".
std::string_view
RefusalName(refusal_code aCode);

/// The HTTP status that goes with a code.
std::uint16_t
RefusalStatus(refusal_code aCode);

}
