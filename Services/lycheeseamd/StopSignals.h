#pragma once

#include <csignal>
#include <span>

namespace lycheeseam {

/// Blocks signals, so that a thread may wait for them: no code runs in a
/// handler. Threads started later inherit the mask. Also lets writes to closed
/// connections fail rather than end the process.
sigset_t
BlockSignals(std::span<int const> aSignals);

}
