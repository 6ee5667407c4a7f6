#include <LibCore/BootClock.h>

#include <ctime>

namespace lycheeseam {

boot_clock::time_point
boot_clock::now() noexcept
{
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  std::chrono::seconds const seconds{ reading.tv_sec };
  std::chrono::nanoseconds const nanoseconds{ reading.tv_nsec };
  return time_point{ seconds + nanoseconds };
}

}
