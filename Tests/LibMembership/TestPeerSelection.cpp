#include <LibMembership/PeerSelection.h>

#include <Tests/LibMembership/MakeMembers.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace lycheeseam {
namespace {

constexpr std::size_t kInstances = 330;
constexpr std::size_t kDomains = 12;
constexpr peer_selection_options kOptions;

using link_map = std::map<instance_id, std::vector<instance_id>>;

link_map
LinksOf(std::span<member const> aMembers,
        peer_selection_options const& aOptions = kOptions)
{
  link_map links;
  for (member const& self : aMembers)
    links[self.mIdentity.mInstance] =
      SelectPeers(self.mIdentity.mInstance, aMembers, aOptions);
  return links;
}

// The number of survivors that the first one reaches over links between
// survivors.
std::size_t
CountReached(link_map const& aLinks, std::set<instance_id> const& aSurvivors)
{
  std::set<instance_id> reached{ *aSurvivors.begin() };
  std::vector<instance_id> open{ *aSurvivors.begin() };
  while (!open.empty()) {
    instance_id const next = open.back();
    open.pop_back();
    for (instance_id const& peer : aLinks.at(next)) {
      if (aSurvivors.contains(peer) && reached.insert(peer).second)
        open.push_back(peer);
    }
  }
  return reached.size();
}

std::set<instance_id>
NamesOf(std::span<member const> aMembers)
{
  std::set<instance_id> names;
  for (member const& each : aMembers)
    names.insert(each.mIdentity.mInstance);
  return names;
}

// All instances but those of one failure domain and a random tenth of the rest.
std::set<instance_id>
Survivors(std::span<member const> aMembers,
          std::size_t aFailedDomain,
          std::mt19937& aRandom)
{
  std::set<instance_id> names;
  std::uniform_int_distribution<int> tenth{ 0, 9 };
  failure_domain const failed{ "d" + std::to_string(aFailedDomain) };
  for (member const& each : aMembers) {
    if (each.mFailureDomain != failed && tenth(aRandom) != 0)
      names.insert(each.mIdentity.mInstance);
  }
  return names;
}

std::size_t
CountSplitFleets(peer_selection_options const& aOptions)
{
  std::vector<member> const members = MakeMembers(kInstances, kDomains);
  link_map const links = LinksOf(members, aOptions);
  std::mt19937 random{ 1 };
  std::size_t split = 0;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      std::set<instance_id> const alive = Survivors(members, domain, random);
      split += CountReached(links, alive) < alive.size();
    }
  }
  return split;
}

TEST(TestPeerSelection, SmallFleetsAreFullMeshes)
{
  for (auto const& [self, peers] : LinksOf(MakeMembers(8, 4)))
    EXPECT_EQ(peers.size(), 7u);
}

TEST(TestPeerSelection, LinksAreMutualAndBounded)
{
  link_map const links = LinksOf(MakeMembers(kInstances, kDomains));
  for (auto const& [self, peers] : links) {
    EXPECT_LE(peers.size(), 2 * (kOptions.mDomainRings + kOptions.mFleetRings));
    for (instance_id const& peer : peers) {
      std::vector<instance_id> const& back = links.at(peer);
      EXPECT_TRUE(std::find(back.begin(), back.end(), self) != back.end());
    }
  }
}

TEST(TestPeerSelection, ConnectedAtEachSize)
{
  for (std::size_t count = 10; count <= kInstances; count += 40) {
    std::vector<member> const members = MakeMembers(count, kDomains);
    EXPECT_EQ(CountReached(LinksOf(members), NamesOf(members)), count);
  }
}

TEST(TestPeerSelection, ConnectedWithoutADomainAndATenthOfTheRest)
{
  EXPECT_EQ(CountSplitFleets(kOptions), 0u);
}

// The check above must detect that a single ring is too weak.
TEST(TestPeerSelection, ASingleRingSplits)
{
  EXPECT_GT(CountSplitFleets({ .mDomainRings = 0, .mFleetRings = 1 }), 0u);
}

TEST(TestPeerSelection, AnAddedInstanceChangesOnlyItsNeighboursLinks)
{
  std::vector<member> members = MakeMembers(kInstances, kDomains);
  link_map const after = LinksOf(members);
  members.pop_back();
  link_map const before = LinksOf(members);
  std::size_t changed = 0;
  for (auto const& [self, peers] : before)
    changed += peers != after.at(self);
  EXPECT_LE(changed, 2 * (kOptions.mDomainRings + kOptions.mFleetRings));
}

}
}
