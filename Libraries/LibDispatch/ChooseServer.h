#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <optional>
#include <span>

namespace lycheeseam {

/// Returns the backend server for a request, or null when none is eligible.
///
/// Model requests with a prompt key use rendezvous hashing with bounded loads,
/// so that instances choose the same server for a prompt without communication.
/// Other requests go to the least loaded server; among equals, one in the
/// instance's own failure domain is preferred. For all model requests, servers
/// with the newest weights are preferred until they are busy. Of these, large
/// requests prefer servers with a rate limit, and others those without.
tracked_server*
ChooseServer(std::span<tracked_server* const> aServers,
             server_choice_request const& aRequest);

/// When the first server takes a request of those that are only excluded
/// because of the pause that they asked for or of their rate limit; nothing
/// when there are none.
std::optional<instant>
FirstSendAt(std::span<tracked_server* const> aServers,
            server_choice_request const& aRequest);

/// Returns the server other than aChosen that most likely caches the prompt's
/// shared part: the one with the highest rendezvous rank among those with the
/// same version of the weights. Null when there is none.
tracked_server*
ChooseCacheSource(std::span<tracked_server* const> aServers,
                  server_choice_request const& aRequest,
                  tracked_server const& aChosen);

}
