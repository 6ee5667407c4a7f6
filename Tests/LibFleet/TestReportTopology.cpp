#include <LibFleet/ReportTopology.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace lycheeseam {
namespace {

std::vector<peer_hello>
Fleet(int aCount, int aDomains)
{
  std::vector<peer_hello> fleet;
  for (int index = 0; index < aCount; ++index) {
    std::string const number = std::to_string(index);
    std::string const domain = std::to_string(index % aDomains);
    fleet.push_back(
      { .mIdentity = { .mInstance = instance_id{ "entry-" + number } },
        .mFailureDomain = failure_domain{ "domain-" + domain },
        .mPeers = { .mAddress = "10.0.0.1",
                    .mPort = static_cast<std::uint16_t>(index + 1) },
        .mCapacity = index < aDomains ? 500U : 120U });
  }
  return fleet;
}

report_topology
TopologyOf(std::vector<peer_hello> const& aFleet,
           std::size_t aIndex,
           std::optional<instance_id> const& aParent = {})
{
  std::vector<peer_hello> others = aFleet;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return ComputeReportTopology(aFleet[aIndex], others, aParent);
}

// The topologies of all instances, by their ids.
std::map<instance_id, report_topology>
Topologies(std::vector<peer_hello> const& aFleet)
{
  std::map<instance_id, report_topology> topologies;
  for (std::size_t index = 0; index < aFleet.size(); ++index)
    topologies[aFleet[index].mIdentity.mInstance] = TopologyOf(aFleet, index);
  return topologies;
}

TEST(TestReportTopology, FewInstancesAreAllRoots)
{
  for (auto const& [id, topology] : Topologies(Fleet(12, 3))) {
    EXPECT_FALSE(topology.mParent);
    EXPECT_EQ(topology.mContacts.size(), 11u);
  }
}

TEST(TestReportTopology, ParentIsARootOfTheSameFailureDomain)
{
  std::vector<peer_hello> const fleet = Fleet(84, 4);
  std::map<instance_id, report_topology> topologies = Topologies(fleet);
  for (peer_hello const& self : fleet) {
    std::optional<instance_id> const parent =
      topologies[self.mIdentity.mInstance].mParent;
    if (!parent)
      continue;
    EXPECT_FALSE(topologies[*parent].mParent);
    auto const found =
      std::find_if(fleet.begin(), fleet.end(), [&](peer_hello const& aOther) {
        return aOther.mIdentity.mInstance == parent;
      });
    EXPECT_EQ(found->mFailureDomain, self.mFailureDomain);
  }
}

TEST(TestReportTopology, RootsAreContactsAndIncludeTheLargestInstances)
{
  std::vector<peer_hello> const fleet = Fleet(84, 4);
  std::set<instance_id> roots;
  for (auto const& [id, topology] : Topologies(fleet)) {
    if (!topology.mParent)
      roots.insert(id);
  }
  for (int index = 0; index < 4; ++index)
    EXPECT_TRUE(roots.contains(fleet[index].mIdentity.mInstance));
  for (instance_id const& root : roots) {
    std::set<instance_id> contacts{ root };
    for (peer_contact const& contact : Topologies(fleet)[root].mContacts)
      contacts.insert(contact.mInstance);
    EXPECT_EQ(contacts, roots);
  }
}

// The links of the busiest instance must grow far more slowly than the fleet.
TEST(TestReportTopology, LinksGrowWithTheSquareRootOfTheFleetSize)
{
  for (int const count : { 30, 100, 330 }) {
    std::map<instance_id, std::size_t> links;
    for (auto const& [id, topology] : Topologies(Fleet(count, 4))) {
      if (topology.mParent)
        ++links[*topology.mParent];
      links[id] += topology.mContacts.size();
    }
    std::size_t most = 0;
    for (auto const& [id, linkCount] : links)
      most = std::max(most, linkCount);
    EXPECT_LE(most * most, 14u * static_cast<unsigned>(count)) << count;
  }
}

TEST(TestReportTopology, ParentStaysWhenItIsNoLongerARoot)
{
  std::vector<peer_hello> const fleet = Fleet(84, 4);
  std::size_t const child = 83;
  instance_id const parent = *TopologyOf(fleet, child).mParent;
  std::vector<peer_hello> larger = fleet;
  for (int index = 0; index < 12; ++index) {
    peer_hello added = fleet[child];
    added.mIdentity.mInstance = instance_id{ "new-" + std::to_string(index) };
    added.mCapacity = 900;
    larger.push_back(added);
  }
  EXPECT_EQ(TopologyOf(larger, child, parent).mParent, parent);
}

// Instances that know different parts of the fleet must not choose parents in a
// cycle.
TEST(TestReportTopology, ParentsNeverFormACycle)
{
  std::vector<peer_hello> const fleet = Fleet(60, 3);
  for (unsigned view = 1; view < 40; ++view) {
    std::map<instance_id, std::optional<instance_id>> parents;
    for (std::size_t self = 0; self < fleet.size(); ++self) {
      std::vector<peer_hello> seen;
      for (std::size_t other = 0; other < fleet.size(); ++other) {
        if (other != self && (other * 7 + self * 13 + view) % 4 != 0)
          seen.push_back(fleet[other]);
      }
      parents[fleet[self].mIdentity.mInstance] =
        ComputeReportTopology(fleet[self], seen, {}).mParent;
    }
    for (auto const& [id, parent] : parents) {
      std::optional<instance_id> at = parent;
      std::size_t steps = 0;
      while (at && steps <= fleet.size()) {
        at = parents[*at];
        ++steps;
      }
      EXPECT_LE(steps, fleet.size()) << id.Text();
    }
  }
}

}
}
