#pragma once

#include <string>

namespace lycheeseam {

/// One fold's part of a checkpoint.
struct checkpoint_section
{
  std::string mName;
  std::string mText;

  bool operator==(checkpoint_section const&) const = default;
};

}
