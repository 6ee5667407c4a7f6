#pragma once

#include <LibRecords/LogEntry.h>

#include <cstddef>
#include <vector>

namespace lycheeseam::bench {

/// The log entries that create the configuration of a fleet: 17 models with a
/// pool and a route each, and aPercent of 470 workspaces, 5,000 keys and 4,600
/// servers.
std::vector<log_entry>
MakeRecords(std::size_t aPercent);

}
