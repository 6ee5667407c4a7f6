#pragma once

#include <LibCore/Endpoint.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// Where spans are kept and sent.
struct trace_settings
{
  /// The most spans kept in memory.
  std::uint32_t mRingSpans = 8192;
  /// An OTLP/HTTP collector; spans stay in the ring alone without one.
  std::optional<endpoint> mOtlpEndpoint;

  bool operator==(trace_settings const&) const = default;
};

}
