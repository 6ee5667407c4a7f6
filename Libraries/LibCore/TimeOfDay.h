#pragma once

#include <chrono>

namespace lycheeseam {

/// Returns the wall clock's time since 1970-01-01 UTC. It may jump and differs
/// between machines, so it only serves data that outlives a process.
std::chrono::milliseconds
TimeOfDay();

}
