#pragma once

#include <LibCore/BootClock.h>

namespace lycheeseam {

/// A point in time on the boot clock. Decisions take it as an argument, so
/// that tests run them in virtual time.
using instant = boot_clock::time_point;

/// A span of time in nanoseconds.
using duration = boot_clock::duration;

}
