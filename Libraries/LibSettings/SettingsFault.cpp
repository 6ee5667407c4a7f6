#include <LibSettings/SettingsFault.h>

namespace lycheeseam {

std::string
settings_fault::Text() const
{
  return mPath + ": found " + mValue + "; allowed: " + mAllowed;
}

}
