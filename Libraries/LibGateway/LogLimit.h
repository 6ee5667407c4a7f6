#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/TrackedServer.h>
#include <LibGateway/EvidenceSource.h>

namespace lycheeseam {

/// Logs a server's rate limit, this instance's share of it, and how many
/// requests it sent to the server since the line before: when the limit has
/// changed, and from time to time while there is one.
void
LogLimit(instant aNow, tracked_server& aServer, evidence_source aSource);

}
