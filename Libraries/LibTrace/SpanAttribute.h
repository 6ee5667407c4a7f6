#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace lycheeseam {

/// One fact about a span. Never a caller's key or a prompt's text.
struct span_attribute
{
  using value = std::variant<std::string, std::int64_t, double, bool>;

  std::string mName;
  value mValue;

  bool operator==(span_attribute const&) const = default;
};

}
