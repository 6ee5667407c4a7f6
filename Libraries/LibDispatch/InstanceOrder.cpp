#include <LibDispatch/InstanceOrder.h>
#include <LibDispatch/RendezvousRank.h>

#include <xxhash.h>

#include <algorithm>

namespace lycheeseam {

namespace {

std::uint64_t
SeedOf(instance_id const& aInstance)
{
  return XXH3_64bits(aInstance.Text().data(), aInstance.Text().size());
}

}

instance_order::instance_order(instance_id const& aSelf)
  : mOwnSeed(SeedOf(aSelf))
{
}

bool
instance_order::Update(std::span<ready_instance const> aReady)
{
  std::vector<std::uint64_t> seeds;
  seeds.reserve(aReady.size());
  for (ready_instance const& ready : aReady) {
    std::uint64_t const seed = SeedOf(ready.mInstance);
    if (seed != mOwnSeed)
      seeds.push_back(seed);
  }
  if (seeds == mOtherSeeds)
    return false;
  mOtherSeeds = std::move(seeds);
  return true;
}

std::size_t
instance_order::Position(std::uint64_t aKey) const
{
  std::uint64_t const own = RendezvousRank(aKey, mOwnSeed);
  return static_cast<std::size_t>(std::count_if(
    mOtherSeeds.begin(), mOtherSeeds.end(), [&](std::uint64_t aSeed) {
      return RendezvousRank(aKey, aSeed) > own;
    }));
}

}
