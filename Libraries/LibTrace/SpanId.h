#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Names one span of a trace; all zero is no span.
struct span_id
{
  static constexpr std::size_t kBytes = 8;

  std::array<std::uint8_t, kBytes> mBytes{};

  bool operator==(span_id const&) const = default;
};

}
