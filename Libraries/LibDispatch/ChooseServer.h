#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <span>

namespace lycheeseam {

/// The backend server for a request, or null when none may take it.
///
/// Model requests go by rendezvous hashing with bounded load, so instances
/// that don't talk choose the same server for a prompt, among the servers
/// with the newest weights while these can bear the load. Plain requests go
/// to the least loaded server, the own failure domain first among equals.
tracked_server*
ChooseServer(std::span<tracked_server* const> aServers,
             server_choice_request const& aRequest);

/// The server that most likely holds a prompt's shared part besides aChosen:
/// the next one in the order of the rendezvous with the same weights.
tracked_server*
ChooseCacheSource(std::span<tracked_server* const> aServers,
                  server_choice_request const& aRequest,
                  tracked_server const& aChosen);

/// The place of a server in the order for a prompt; the highest is first.
std::uint64_t
RendezvousRank(std::uint64_t aPromptKey, std::uint64_t aServerSeed);

}
