#pragma once

#include <string>

namespace lycheeseam {

/// The state of one fold in a checkpoint, named by the fold's kSection.
struct checkpoint_section
{
  std::string mName;
  std::string mText;

  bool operator==(checkpoint_section const&) const = default;
};

}
