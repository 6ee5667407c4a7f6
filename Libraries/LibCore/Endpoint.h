#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeseam {

/// An IP number and a port.
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  /// Parses "127.0.0.1:8080" or "[::1]:8080"; throws invalid_input.
  static endpoint Parse(std::string_view aText);

  /// The form that Parse reads.
  [[nodiscard]] std::string Text() const;

  // The linter takes the zero that "<" is rewritten with for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(endpoint const&) const = default;
};

}
