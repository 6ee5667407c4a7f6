#pragma once

#include <LibStore/StorePosition.h>

#include <optional>
#include <string>

namespace lycheeseam {

/// A record of a keyed topic, which sets or deletes the value of its key.
struct keyed_record
{
  store_position mPosition;
  std::string mKey;
  /// Nothing when the record deletes the key.
  std::optional<std::string> mValue;

  bool operator==(keyed_record const&) const = default;
};

}
