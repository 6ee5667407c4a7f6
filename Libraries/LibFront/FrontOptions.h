#pragma once

#include <LibCore/Endpoint.h>

#include <cstddef>

namespace lycheeseam {

/// The options of a front_server.
struct front_options
{
  endpoint mListen;
  /// The number of threads that serve callers.
  int mWorkers = 2;
  /// The largest request, headers included, in bytes.
  std::size_t mMaxRequestBytes = 8UL * 1024 * 1024;
  /// While an answer has more unsent bytes than this, reading from its backend
  /// server is paused.
  std::size_t mMaxUnsentBytes = 256UL * 1024;
  /// The prefix of request ids, which makes them unique over all instances and
  /// incarnations.
  std::string mRequestIdPrefix;
};

}
