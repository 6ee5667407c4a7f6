#pragma once

#include <LibCore/BootClock.h>

namespace lycheeseam {

/// A point in time on the boot clock. Code that decides takes the current time
/// as an argument, so that tests can run it in virtual time.
using instant = boot_clock::time_point;

/// A span of time in nanoseconds.
using duration = boot_clock::duration;

}
