#pragma once

#include <string>

namespace lycheeseam {

/// One fault of a settings file.
struct settings_fault
{
  /// The JSON path of the fault, such as "$.limits.max_body_bytes".
  std::string mPath;
  /// The value found, as JSON; "nothing" when it is missing.
  std::string mValue;
  /// The allowed values.
  std::string mAllowed;

  /// Returns the fault as "PATH: found VALUE; allowed: ALLOWED".
  [[nodiscard]] std::string Text() const;

  bool operator==(settings_fault const&) const = default;
};

}
