#include <LibCore/TimeOfDay.h>

namespace lycheeseam {

std::chrono::milliseconds
TimeOfDay()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

}
