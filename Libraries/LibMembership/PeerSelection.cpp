#include <LibMembership/PeerSelection.h>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <set>

namespace lycheeseam {

namespace {

// The first seed of a failure domain's rings, so that their hashes differ from
// those of the fleet's rings.
constexpr std::uint64_t kDomainRingSeed = 1ULL << 32;

std::uint64_t
RingPosition(instance_id const& aInstance, std::uint64_t aRing)
{
  std::string const& name = aInstance.Text();
  return XXH3_64bits_withSeed(name.data(), name.size(), aRing);
}

// Adds the neighbours of aSelf on one ring of aInstances, which contains it.
void
AddNeighbours(instance_id const& aSelf,
              std::span<instance_id const> aInstances,
              std::uint64_t aRing,
              std::set<instance_id>& aChosen)
{
  std::uint64_t const own = RingPosition(aSelf, aRing);
  // Unsigned distances wrap around the ring, so the least one belongs to the
  // next neighbour.
  std::uint64_t afterDistance = UINT64_MAX;
  std::uint64_t beforeDistance = UINT64_MAX;
  instance_id const* after = nullptr;
  instance_id const* before = nullptr;
  for (instance_id const& other : aInstances) {
    if (other == aSelf)
      continue;
    std::uint64_t const position = RingPosition(other, aRing);
    if (!after || position - own < afterDistance) {
      afterDistance = position - own;
      after = &other;
    }
    if (!before || own - position < beforeDistance) {
      beforeDistance = own - position;
      before = &other;
    }
  }
  if (after)
    aChosen.insert(*after);
  if (before)
    aChosen.insert(*before);
}

failure_domain
DomainOf(instance_id const& aSelf, std::span<member const> aMembers)
{
  for (member const& candidate : aMembers) {
    if (candidate.mIdentity.mInstance == aSelf)
      return candidate.mFailureDomain;
  }
  return {};
}

}

std::vector<instance_id>
SelectPeers(instance_id const& aSelf,
            std::span<member const> aMembers,
            peer_selection_options const& aOptions)
{
  failure_domain const ownDomain = DomainOf(aSelf, aMembers);
  std::vector<instance_id> fleet;
  std::vector<instance_id> domain;
  for (member const& candidate : aMembers) {
    fleet.push_back(candidate.mIdentity.mInstance);
    if (candidate.mFailureDomain == ownDomain)
      domain.push_back(candidate.mIdentity.mInstance);
  }
  std::set<instance_id> chosen;
  if (fleet.size() <= aOptions.mFullMeshLimit) {
    chosen.insert(fleet.begin(), fleet.end());
    chosen.erase(aSelf);
    return { chosen.begin(), chosen.end() };
  }
  for (std::uint64_t ring = 0; ring < aOptions.mFleetRings; ++ring)
    AddNeighbours(aSelf, fleet, ring, chosen);
  for (std::uint64_t ring = 0; ring < aOptions.mDomainRings; ++ring)
    AddNeighbours(aSelf, domain, kDomainRingSeed + ring, chosen);
  return { chosen.begin(), chosen.end() };
}

}
