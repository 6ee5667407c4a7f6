#pragma once

#include <LibCore/Error.h>
#include <LibSettings/SettingsFault.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// Thrown when a settings file can't be used; lists every fault, not only the
/// first.
class settings_error : public error
{
public:
  explicit settings_error(std::vector<settings_fault> aFaults);

  /// The faults in the order of the checks; at least one.
  [[nodiscard]] std::span<settings_fault const> Faults() const noexcept
  {
    return mFaults;
  }

private:
  std::vector<settings_fault> mFaults;
};

}
