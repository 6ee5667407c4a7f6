#include <LibDispatch/RendezvousRank.h>

namespace lycheeseam {

std::uint64_t
RendezvousRank(std::uint64_t aKey, std::uint64_t aCandidateSeed)
{
  // The finalizer of splitmix64: each input bit affects all output bits.
  std::uint64_t value = aKey ^ aCandidateSeed;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

}
