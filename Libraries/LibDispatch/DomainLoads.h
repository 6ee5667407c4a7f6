#pragma once

#include <LibDispatch/DomainLoad.h>
#include <LibDispatch/TrackedServer.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// Sums up the estimates of a pool's available servers by failure domain, in no
/// particular order. Domains without an available server are left out.
std::vector<domain_load>
DomainLoads(std::span<tracked_server* const> aServers, instant aNow);

}
