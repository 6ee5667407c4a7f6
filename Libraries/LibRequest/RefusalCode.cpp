#include <LibCore/Verify.h>
#include <LibRequest/RefusalCode.h>

#include <array>

namespace lycheeseam {

namespace {

struct refusal_entry
{
  refusal_code mCode;
  std::string_view mName;
  std::uint16_t mStatus;
};

constexpr std::array kRefusals{
  refusal_entry{ refusal_code::InvalidRequest, "invalid_request", 400 },
  refusal_entry{ refusal_code::BodyTooLarge, "body_too_large", 413 },
  refusal_entry{ refusal_code::MissingKey, "missing_key", 401 },
  refusal_entry{ refusal_code::InvalidKey, "invalid_key", 401 },
  refusal_entry{ refusal_code::UnknownRoute, "unknown_route", 404 },
  refusal_entry{ refusal_code::UnknownModel, "unknown_model", 404 },
  refusal_entry{ refusal_code::UnknownWorkspace, "unknown_workspace", 403 },
  refusal_entry{ refusal_code::RateExceeded, "rate_exceeded", 429 },
  refusal_entry{ refusal_code::LargerThanBurst, "larger_than_burst", 413 },
  refusal_entry{ refusal_code::QueueDeadline, "queue_deadline", 503 },
  refusal_entry{ refusal_code::Overloaded, "overloaded", 503 },
  refusal_entry{ refusal_code::NoBackendServer, "no_backend_server", 503 },
  refusal_entry{ refusal_code::BackendFailed, "backend_failed", 502 },
  refusal_entry{ refusal_code::BackendTimeout, "backend_timeout", 504 },
  refusal_entry{ refusal_code::PoisonRequest, "poison_request", 422 },
  refusal_entry{ refusal_code::KeyReused, "idempotency_key_reused", 422 },
  refusal_entry{ refusal_code::OutcomeUnknown, "outcome_unknown", 409 },
  refusal_entry{ refusal_code::LogUnavailable, "log_unavailable", 503 },
  refusal_entry{ refusal_code::NotConfirmed, "not_confirmed", 503 },
  refusal_entry{ refusal_code::ShuttingDown, "shutting_down", 503 },
};

refusal_entry const&
EntryOf(refusal_code aCode)
{
  for (refusal_entry const& entry : kRefusals) {
    if (entry.mCode == aCode)
      return entry;
  }
  VERIFY(false && "every refusal code has an entry");
  return kRefusals.front();
}

}

std::string_view
RefusalName(refusal_code aCode)
{
  return EntryOf(aCode).mName;
}

std::uint16_t
RefusalStatus(refusal_code aCode)
{
  return EntryOf(aCode).mStatus;
}

}
