#include <LibSettings/SettingsError.h>

#include <utility>

namespace lycheeseam {

namespace {

std::string
JoinFaults(std::span<settings_fault const> aFaults)
{
  std::string text;
  for (settings_fault const& fault : aFaults) {
    if (!text.empty())
      text += '\n';
    text += fault.Text();
  }
  return text;
}

}

settings_error::settings_error(std::vector<settings_fault> aFaults)
  : error(JoinFaults(aFaults))
  , mFaults(std::move(aFaults))
{
}

}
