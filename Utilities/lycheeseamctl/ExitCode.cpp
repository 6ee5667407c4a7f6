#include "ExitCode.h"

namespace lycheeseam {

exit_code
ExitCodeOf(std::uint16_t aStatus)
{
  if (aStatus == 200)
    return exit_code::Success;
  if (aStatus == 409)
    return exit_code::Conflict;
  if (aStatus == 422)
    return exit_code::Refused;
  if (aStatus == 503)
    return exit_code::Unknown;
  return exit_code::BadCall;
}

}
