#include "StandardDescriptors.h"

#include <fcntl.h>
#include <unistd.h>

namespace lycheeseam {

void
FillStandardDescriptors()
{
  // open() returns the lowest number that is free.
  int descriptor = 0;
  do {
    descriptor = ::open("/dev/null", O_RDWR);
  } while (descriptor >= 0 && descriptor <= STDERR_FILENO);
  if (descriptor > STDERR_FILENO)
    ::close(descriptor);
}

}
