#pragma once

#include <LibSettings/SettingsError.h>

#include <string>
#include <vector>

namespace lycheeseam {

/// Returns the JSON paths of the faults that aParse reports for a settings
/// file's text; empty when there are none.
template<typename Parser>
std::vector<std::string>
FaultPathsOf(Parser aParse, std::string const& aText)
{
  std::vector<std::string> paths;
  try {
    aParse(aText);
  } catch (settings_error const& caught) {
    for (settings_fault const& fault : caught.Faults())
      paths.push_back(fault.mPath);
  }
  return paths;
}

}
