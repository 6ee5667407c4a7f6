#include <LibGateway/RetryAfter.h>

namespace lycheeseam {

std::chrono::milliseconds
RetryAfter(server_pick const& aPick)
{
  if (!aPick.mSendAt)
    return kRetryAfter;
  // Callers that are refused during a pause don't all come back at its end.
  std::chrono::duration<double, std::milli> const spread =
    kRetryAfter * aPick.mChoiceRequest.mSample;
  return std::chrono::ceil<std::chrono::milliseconds>(
    *aPick.mSendAt - aPick.mChoiceRequest.mNow + spread);
}

}
