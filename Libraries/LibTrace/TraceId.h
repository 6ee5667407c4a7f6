#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>

namespace lycheeseam {

/// Identifies one request across all hops; all bytes zero means no trace.
struct trace_id
{
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> mBytes{};

  bool operator==(trace_id const&) const = default;
};

}

template<>
struct std::hash<lycheeseam::trace_id>
{
  std::size_t operator()(lycheeseam::trace_id const& aTrace) const noexcept
  {
    std::size_t value = 0;
    std::memcpy(&value, aTrace.mBytes.data(), sizeof(value));
    return value;
  }
};
