#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Identifies one span within a trace; all bytes zero means no span.
struct span_id
{
  static constexpr std::size_t kBytes = 8;

  std::array<std::uint8_t, kBytes> mBytes{};

  bool operator==(span_id const&) const = default;
};

}
