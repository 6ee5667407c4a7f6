#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <span>
#include <vector>

namespace lycheeseam {

/// The first aCount servers in the order of a hash of their ids, which is the
/// same on all instances; all of them if aCount is 0.
std::vector<backend_server_id>
FirstServers(std::span<backend_server_id const> aServers, std::size_t aCount);

}
