#pragma once

#include <LibCore/Error.h>
#include <LibSettings/SettingsFault.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// A settings file can't be used; holds every fault, not the first alone.
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
