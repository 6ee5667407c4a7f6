#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/TrackedServer.h>

#include <optional>

namespace lycheeseam {

/// Logs the rate limit that a server names, in requests per second, and how
/// many requests this instance sent to it since the line before: when the limit
/// has changed, and from time to time while there is one.
void
LogLimit(instant aNow, tracked_server& aServer, std::optional<double> aLimit);

}
