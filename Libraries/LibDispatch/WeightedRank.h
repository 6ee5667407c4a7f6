#pragma once

#include <LibDispatch/TrackedServer.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam {

/// The first servers by rendezvous rank for a prompt, best first. A server
/// comes first for a part of the prompts that is proportional to its learned
/// speed; with equal speeds the order is that of RendezvousRank.
std::vector<tracked_server*>
FirstByWeightedRank(std::span<tracked_server* const> aServers,
                    std::uint64_t aPromptKey,
                    std::size_t aCount,
                    instant aNow);

}
