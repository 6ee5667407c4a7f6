#pragma once

#include <cstdint>
#include <string>

namespace lycheeseam {

/// The HTTP response to an operator's call of the admin API.
struct admin_answer
{
  std::uint16_t mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
};

}
