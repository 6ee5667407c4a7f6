#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace lycheeseam {

/// A named value of a span. Must not hold a caller's key or the text of a
/// prompt.
struct span_attribute
{
  using value = std::variant<std::string, std::int64_t, double, bool>;

  std::string mName;
  value mValue;

  bool operator==(span_attribute const&) const = default;
};

}
