#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lycheeseam {

/// A record of a keyed topic: what is known of its key from then on.
struct keyed_record
{
  std::uint64_t mOffset = 0;
  std::string mKey;
  /// Nothing when the key was dropped.
  std::optional<std::string> mValue;

  bool operator==(keyed_record const&) const = default;
};

}
