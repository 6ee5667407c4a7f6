#include <LibSettings/ReadSettingsFile.h>
#include <LibSettings/SettingsError.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace lycheeseam {

std::string
ReadSettingsFile(std::string const& aPath)
{
  std::ifstream file{ aPath };
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    settings_fault fault{ .mPath = "$",
                          .mValue = "nothing",
                          .mAllowed = "a readable file at " + aPath };
    throw settings_error({ std::move(fault) });
  }
  return text.str();
}

}
