#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// A record as the platform sees it: a place and a text it can't read.
struct raw_record
{
  log_offset mOffset;
  std::string mText;

  bool operator==(raw_record const&) const = default;
};

}
