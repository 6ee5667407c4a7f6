#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// A log entry as one instance passes it on to others.
struct relayed_entry
{
  log_offset mOffset;
  /// The record in the record codec's form.
  std::string mRecord;

  bool operator==(relayed_entry const&) const = default;
};

}
