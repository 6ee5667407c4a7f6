#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeseam {

/// A record of a keyed topic, which sets or deletes the value of its key.
struct keyed_record
{
  std::uint64_t mOffset = 0;
  std::string mKey;
  /// Nothing when the record deletes the key.
  std::optional<std::string> mValue;

  bool operator==(keyed_record const&) const = default;
};

}
