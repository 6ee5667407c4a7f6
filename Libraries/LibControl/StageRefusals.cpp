#include <LibControl/StageRefusals.h>
#include <LibCore/Verify.h>

namespace lycheeseam {

namespace {

constexpr std::chrono::seconds kRetryAfter{ 1 };

}

refusal
RefusalFor(charge_result aResult)
{
  switch (aResult) {
    case charge_result::UnknownWorkspace:
      return { .mCode = refusal_code::UnknownWorkspace,
               .mMessage = "the key's workspace no longer exists" };
    case charge_result::AboveBurst:
      return { .mCode = refusal_code::LargerThanBurst,
               .mMessage = "the prompt and its longest answer exceed the "
                           "workspace's burst; request fewer tokens" };
    case charge_result::QueueFull:
    case charge_result::DeadlinePassed:
      return { .mCode = refusal_code::RateExceeded,
               .mMessage = "the workspace's token rate is exhausted",
               .mRetryAfter = kRetryAfter };
    case charge_result::Admitted:
      break;
  }
  VERIFY(false && "an admitted charge is no refusal");
  return {};
}

refusal
RefusalFor(once_action aAction)
{
  switch (aAction) {
    case once_action::RefuseMayHaveRun:
      return { .mCode = refusal_code::OutcomeUnknown,
               .mVerdict = verdict::MayHaveRun,
               .mMessage = "an earlier request with this Idempotency-Key may "
                           "have run; its outcome is not known" };
    case once_action::RefuseKeyReused:
      return { .mCode = refusal_code::KeyReused,
               .mMessage = "the Idempotency-Key was used for another request" };
    case once_action::RefuseLogUnreachable:
      return { .mCode = refusal_code::LogUnavailable,
               .mMessage =
                 "the log that prevents the request from running twice "
                 "is not available",
               .mRetryAfter = kRetryAfter };
    case once_action::RefuseFull:
      return { .mCode = refusal_code::Overloaded,
               .mMessage = "the table of Idempotency-Keys is full",
               .mRetryAfter = kRetryAfter };
    case once_action::Run:
    case once_action::Replay:
      break;
  }
  VERIFY(false && "a request that runs or is replayed is not refused");
  return {};
}

refusal
RefusalFor(upstream_end const& aEnd)
{
  bool const isTimeout = aEnd.mFailure == transfer_failure::FirstByteTimeout ||
                         aEnd.mFailure == transfer_failure::Stalled;
  return { .mCode = isTimeout ? refusal_code::BackendTimeout
                              : refusal_code::BackendFailed,
           .mVerdict = aEnd.mVerdict,
           .mMessage = "the backend server gave no complete answer" };
}

refusal
OverloadRefusal()
{
  return { .mCode = refusal_code::Overloaded,
           .mMessage = "too many requests are queued for this pool",
           .mRetryAfter = kRetryAfter };
}

refusal
QueueDeadlineRefusal()
{
  return { .mCode = refusal_code::QueueDeadline,
           .mMessage =
             "no backend server had capacity before the queue deadline",
           .mRetryAfter = kRetryAfter };
}

refusal
NoServerRefusal()
{
  return { .mCode = refusal_code::NoBackendServer,
           .mMessage = "no backend server can take the request",
           .mRetryAfter = kRetryAfter };
}

refusal
NotConfirmedRefusal()
{
  return { .mCode = refusal_code::NotConfirmed,
           .mMessage = "this instance is cut off and may not know of withdrawn "
                       "keys; use another instance",
           .mRetryAfter = kRetryAfter };
}

refusal
ShuttingDownRefusal()
{
  return { .mCode = refusal_code::ShuttingDown,
           .mMessage = "this instance is stopping; use another instance",
           .mRetryAfter = kRetryAfter };
}

refusal
PoisonRefusal()
{
  return { .mCode = refusal_code::PoisonRequest,
           .mMessage = "backend servers failed while they ran this request" };
}

}
