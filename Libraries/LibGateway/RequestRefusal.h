#pragma once

#include <LibGateway/RefusalStatus.h>

#include <chrono>

namespace lycheeseam {

/// The gateway's own refusal of a request.
struct request_refusal
{
  refusal_status mStatus = refusal_status::NotReady;
  /// How long the caller should wait before another try; 0 when the refusal
  /// doesn't say.
  std::chrono::milliseconds mRetryAfter{};
};

}
