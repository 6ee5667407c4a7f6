#pragma once

#include <chrono>

namespace lycheeseam {

/// The wall clock's time since 1970. It may jump and differs between machines;
/// nothing but records that outlive a process is told by it.
std::chrono::milliseconds
TimeOfDay();

}
