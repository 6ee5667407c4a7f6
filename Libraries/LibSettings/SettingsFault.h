#pragma once

#include <string>

namespace lycheeseam {

/// One thing wrong with a settings file.
struct settings_fault
{
  /// Where, as a JSON path such as "$.limits.max_body_bytes".
  std::string mPath;
  /// The value found, as JSON; "nothing" when it is missing.
  std::string mValue;
  /// What may stand there.
  std::string mAllowed;

  /// "PATH: found VALUE; allowed: ALLOWED".
  [[nodiscard]] std::string Text() const;

  bool operator==(settings_fault const&) const = default;
};

}
