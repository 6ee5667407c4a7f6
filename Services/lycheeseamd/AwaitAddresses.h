#pragma once

#include "StopSignals.h"
#include <LibCore/Endpoint.h>

#include <span>

namespace lycheeseam {

/// Waits until this process can listen at all of the addresses; false on a
/// signal to stop. Throws error when one of them stays in use for longer than
/// the previous process may take to stop.
bool
AwaitAddresses(stop_signals const& aSignals,
               std::span<endpoint const> aAddresses);

}
