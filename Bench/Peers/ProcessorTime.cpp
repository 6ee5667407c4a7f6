#include <Bench/Peers/ProcessorTime.h>

#include <ctime>

namespace lycheeseam::bench {

std::chrono::nanoseconds
ProcessorTime()
{
  timespec reading{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &reading);
  return std::chrono::seconds{ reading.tv_sec } +
         std::chrono::nanoseconds{ reading.tv_nsec };
}

}
