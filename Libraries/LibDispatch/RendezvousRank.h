#pragma once

#include <cstdint>

namespace lycheeseam {

/// The rank of a candidate for a key: the candidate with the highest rank is
/// chosen, and when one candidate is removed only its keys move.
std::uint64_t
RendezvousRank(std::uint64_t aKey, std::uint64_t aCandidateSeed);

}
