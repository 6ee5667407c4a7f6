#pragma once

#include <cstdint>

namespace lycheeseam {

/// How many servers crashed while they ran one request.
struct crash_count
{
  /// Hash of the request's path, key and body.
  std::uint64_t mFingerprint = 0;
  std::uint32_t mCount = 0;

  bool operator==(crash_count const&) const = default;
};

}
