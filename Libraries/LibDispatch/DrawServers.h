#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// A further number from 0 to 1 of the request; each salt gives another one.
double
DerivedSample(server_choice_request const& aRequest, std::uint64_t aSalt);

/// Draws servers for a request at random, each with a probability proportional
/// to its free slots times its current speed; a server may be drawn twice.
/// Servers without memory for the request are drawn only when none has any.
std::vector<tracked_server*>
DrawServers(std::span<tracked_server* const> aServers,
            server_choice_request const& aRequest,
            std::size_t aCount);

}
