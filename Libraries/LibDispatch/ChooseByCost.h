#pragma once

#include <LibDispatch/PlacementCosts.h>
#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <span>

namespace lycheeseam {

/// Returns the backend server with the least expected time to the first event
/// among a few candidates, or null when no server is eligible.
///
/// For a prompt with a large shared part the candidates are the first servers
/// by rendezvous rank, weighted by speed; for other requests they are drawn at
/// random in proportion to free capacity. For model requests, servers with the
/// newest weights are preferred as ChooseServer does.
tracked_server*
ChooseByCost(std::span<tracked_server* const> aServers,
             server_choice_request const& aRequest,
             placement_costs const& aCosts);

/// As ChooseCacheSource, by the rank that ChooseByCost uses.
tracked_server*
ChooseCacheSourceBySpeed(std::span<tracked_server* const> aServers,
                         server_choice_request const& aRequest,
                         tracked_server const& aChosen);

/// True when the request goes where its shared part is cached, whatever the
/// failure domain.
bool
FollowsPrompt(server_choice_request const& aRequest,
              placement_costs const& aCosts);

}
