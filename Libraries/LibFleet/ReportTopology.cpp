#include <LibFleet/ReportTopology.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

namespace lycheeseam {

namespace {

using members = std::vector<peer_hello const*>;
using domain_members = std::map<failure_domain, members>;

// Another root costs a root as much work as a child does. With a few more
// children than roots, fewer links cross failure domains.
constexpr double kBranchFactor = 1.2;

std::uint64_t
Hash(instance_id const& aInstance, std::uint64_t aSeed = 0)
{
  std::string const& name = aInstance.Text();
  return XXH3_64bits_withSeed(name.data(), name.size(), aSeed);
}

// The order in which instances become roots: the largest processor capacity
// first, then a hash of the id, so that roots don't cluster by whatever the ids
// encode.
bool
ComesBefore(peer_hello const& aFirst, peer_hello const& aSecond)
{
  if (aFirst.mCapacity != aSecond.mCapacity)
    return aFirst.mCapacity > aSecond.mCapacity;
  std::uint64_t const first = Hash(aFirst.mIdentity.mInstance);
  std::uint64_t const second = Hash(aSecond.mIdentity.mInstance);
  if (first != second)
    return first < second;
  return aFirst.mIdentity.mInstance < aSecond.mIdentity.mInstance;
}

// Returns the roots of one failure domain, one for every aBranch instances;
// reorders aDomain.
std::span<peer_hello const* const>
RootsOf(members& aDomain, std::size_t aBranch)
{
  std::size_t const count = (aDomain.size() + aBranch - 1) / aBranch;
  std::partial_sort(aDomain.begin(),
                    aDomain.begin() + static_cast<std::ptrdiff_t>(count),
                    aDomain.end(),
                    [](peer_hello const* aFirst, peer_hello const* aSecond) {
                      return ComesBefore(*aFirst, *aSecond);
                    });
  return std::span{ aDomain }.first(count);
}

peer_contact
Contact(peer_hello const& aPeer)
{
  return { .mAddress = aPeer.mPeers, .mInstance = aPeer.mIdentity.mInstance };
}

// Rendezvous hashing: when a root fails, its children spread over the other
// roots, and no other child changes its parent.
peer_hello const&
ChooseParent(peer_hello const& aSelf, std::span<peer_hello const* const> aRoots)
{
  std::uint64_t const seed = Hash(aSelf.mIdentity.mInstance);
  return **std::max_element(
    aRoots.begin(),
    aRoots.end(),
    [seed](peer_hello const* aFirst, peer_hello const* aSecond) {
      return Hash(aFirst->mIdentity.mInstance, seed) <
             Hash(aSecond->mIdentity.mInstance, seed);
    });
}

report_topology
ChildTopology(peer_hello const& aParent)
{
  return { .mParent = aParent.mIdentity.mInstance,
           .mContacts = { Contact(aParent) } };
}

// Finds the parent so far; null when it is missing from aOthers or no longer
// precedes aSelf.
peer_hello const*
FindParent(peer_hello const& aSelf,
           std::span<peer_hello const> aOthers,
           std::optional<instance_id> const& aParent)
{
  auto const found =
    std::find_if(aOthers.begin(), aOthers.end(), [&](peer_hello const& aOther) {
      return aOther.mIdentity.mInstance == aParent &&
             ComesBefore(aOther, aSelf);
    });
  return found == aOthers.end() ? nullptr : &*found;
}

}

report_topology
ComputeReportTopology(peer_hello const& aSelf,
                      std::span<peer_hello const> aOthers,
                      std::optional<instance_id> const& aParent)
{
  report_topology topology;
  std::size_t const count = aOthers.size() + 1;
  if (count <= report_topology::kMaxInstancesAllRoots) {
    for (peer_hello const& other : aOthers)
      topology.mContacts.push_back(Contact(other));
    return topology;
  }
  std::size_t const branch = static_cast<std::size_t>(
    std::ceil(kBranchFactor * std::sqrt(static_cast<double>(count))));
  domain_members domains;
  domains[aSelf.mFailureDomain].push_back(&aSelf);
  for (peer_hello const& other : aOthers)
    domains[other.mFailureDomain].push_back(&other);

  std::span<peer_hello const* const> const ownRoots =
    RootsOf(domains[aSelf.mFailureDomain], branch);
  if (std::find(ownRoots.begin(), ownRoots.end(), &aSelf) == ownRoots.end()) {
    peer_hello const* const parent = FindParent(aSelf, aOthers, aParent);
    return ChildTopology(parent != nullptr ? *parent
                                           : ChooseParent(aSelf, ownRoots));
  }
  for (domain_members::value_type& domain : domains) {
    for (peer_hello const* const root : RootsOf(domain.second, branch)) {
      if (root != &aSelf)
        topology.mContacts.push_back(Contact(*root));
    }
  }
  return topology;
}

}
