#pragma once

#include <string>

namespace lycheeseam {

/// One header of an HTTP message.
struct header_field
{
  std::string mName;
  std::string mValue;

  bool operator==(header_field const&) const = default;
};

}
