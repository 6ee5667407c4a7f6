#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeseam {

/// One named value of a line of the structured log.
struct event_field
{
  std::string_view mName;
  std::variant<std::int64_t, double, std::string> mValue;
};

}
