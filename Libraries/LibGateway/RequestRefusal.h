#pragma once

#include <LibGateway/RefusalStatus.h>

#include <chrono>

namespace lycheeseam {

/// The router's own answer to a request.
struct request_refusal
{
  refusal_status mStatus = refusal_status::NotReady;
  /// When a repeat may fare better; 0 for no word of it.
  std::chrono::milliseconds mRetryAfter{};
};

}
