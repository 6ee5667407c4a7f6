#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeseam {

/// An IP address and a port.
struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  /// Parses "127.0.0.1:8080" or "[::1]:8080"; throws invalid_input on a host
  /// name, a malformed address or a port outside 1 to 65535.
  static endpoint Parse(std::string_view aText);

  /// Formats the endpoint as Parse reads it.
  [[nodiscard]] std::string Text() const;

  // "<" is rewritten to a comparison with 0, which the linter reports as a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(endpoint const&) const = default;
};

}
