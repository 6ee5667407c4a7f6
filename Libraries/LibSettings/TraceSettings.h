#pragma once

#include <LibCore/Endpoint.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// How many trace spans are kept and where they are exported.
struct trace_settings
{
  /// The most spans kept in memory.
  std::uint32_t mRingSpans = 8192;
  /// The OTLP/HTTP collector; without it, spans stay in the ring only.
  std::optional<endpoint> mOtlpEndpoint;

  bool operator==(trace_settings const&) const = default;
};

}
