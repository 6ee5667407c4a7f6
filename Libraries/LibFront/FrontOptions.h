#pragma once

#include <LibCore/Endpoint.h>

#include <cstddef>

namespace lycheeseam {

/// How callers are served.
struct front_options
{
  endpoint mListen;
  /// The threads that serve callers.
  int mWorkers = 2;
  /// The largest request, headers included, in bytes.
  std::size_t mMaxRequestBytes = 8UL * 1024 * 1024;
  /// A caller with more unsent bytes than this pauses its backend server.
  std::size_t mMaxUnsentBytes = 256UL * 1024;
  /// Starts request ids, so that they are unique over instances and lives.
  std::string mRequestIdPrefix;
};

}
