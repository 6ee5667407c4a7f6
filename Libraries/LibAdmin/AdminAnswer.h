#pragma once

#include <cstdint>
#include <string>

namespace lycheeseam {

/// The answer to an operator's call.
struct admin_answer
{
  std::uint16_t mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
};

}
