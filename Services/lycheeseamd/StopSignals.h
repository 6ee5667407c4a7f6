#pragma once

#include <csignal>
#include <span>

namespace lycheeseam {

/// Blocks signals in the calling thread, so that a thread can wait for them
/// with sigwait and no signal handler is needed. Threads started later inherit
/// the mask. Also ignores SIGPIPE, so that a write to a closed connection fails
/// instead of ending the process.
sigset_t
BlockSignals(std::span<int const> aSignals);

}
