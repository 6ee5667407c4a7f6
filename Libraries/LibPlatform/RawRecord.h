#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// A record in the platform's reply: its offset and its encoded text, which the
/// platform doesn't interpret.
struct raw_record
{
  log_offset mOffset;
  std::string mText;

  bool operator==(raw_record const&) const = default;
};

}
