#pragma once

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// The reason why a request is answered with an error instead of a backend
/// server's answer.
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

/// The HTTP status of an answer with that code.
std::uint16_t
RefusalStatus(refusal_code aCode);

}
