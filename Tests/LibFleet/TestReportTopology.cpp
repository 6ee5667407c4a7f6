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

report_layout
LayoutOf(std::vector<peer_hello> const& aFleet,
         std::size_t aIndex,
         std::optional<instance_id> const& aParent = {})
{
  std::vector<peer_hello> others = aFleet;
  others.erase(others.begin() + static_cast<std::ptrdiff_t>(aIndex));
  return LayOutReports(aFleet[aIndex], others, aParent);
}

// Of all instances, by their names.
std::map<instance_id, report_layout>
Layouts(std::vector<peer_hello> const& aFleet)
{
  std::map<instance_id, report_layout> layouts;
  for (std::size_t index = 0; index < aFleet.size(); ++index)
    layouts[aFleet[index].mIdentity.mInstance] = LayoutOf(aFleet, index);
  return layouts;
}

TEST(TestReportLayout, FewInstancesAreAllRoots)
{
  for (auto const& [id, layout] : Layouts(Fleet(12, 3))) {
    EXPECT_FALSE(layout.mParent);
    EXPECT_EQ(layout.mContacts.size(), 11u);
  }
}

TEST(TestReportLayout, EveryChildsParentIsARootOfItsDomain)
{
  std::vector<peer_hello> const fleet = Fleet(84, 4);
  std::map<instance_id, report_layout> layouts = Layouts(fleet);
  for (peer_hello const& self : fleet) {
    std::optional<instance_id> const parent =
      layouts[self.mIdentity.mInstance].mParent;
    if (!parent)
      continue;
    EXPECT_FALSE(layouts[*parent].mParent);
    auto const found =
      std::find_if(fleet.begin(), fleet.end(), [&](peer_hello const& aOther) {
        return aOther.mIdentity.mInstance == parent;
      });
    EXPECT_EQ(found->mFailureDomain, self.mFailureDomain);
  }
}

TEST(TestReportLayout, RootsKnowEachOtherAndTheLargestAreRoots)
{
  std::vector<peer_hello> const fleet = Fleet(84, 4);
  std::set<instance_id> roots;
  for (auto const& [id, layout] : Layouts(fleet)) {
    if (!layout.mParent)
      roots.insert(id);
  }
  for (int index = 0; index < 4; ++index)
    EXPECT_TRUE(roots.contains(fleet[index].mIdentity.mInstance));
  for (instance_id const& root : roots) {
    std::set<instance_id> contacts{ root };
    for (peer_contact const& contact : Layouts(fleet)[root].mContacts)
      contacts.insert(contact.mInstance);
    EXPECT_EQ(contacts, roots);
  }
}

// Links of the busiest instance must grow far slower than the fleet.
TEST(TestReportLayout, LinksGrowWithTheRootOfTheFleet)
{
  for (int const count : { 30, 100, 330 }) {
    std::map<instance_id, std::size_t> links;
    for (auto const& [id, layout] : Layouts(Fleet(count, 4))) {
      if (layout.mParent)
        ++links[*layout.mParent];
      links[id] += layout.mContacts.size();
    }
    std::size_t most = 0;
    for (auto const& [id, count_of] : links)
      most = std::max(most, count_of);
    EXPECT_LE(most * most, 14u * static_cast<unsigned>(count)) << count;
  }
}

TEST(TestReportLayout, AParentStaysAlsoWhenItIsNoRootAnyMore)
{
  std::vector<peer_hello> const fleet = Fleet(84, 4);
  std::size_t const child = 83;
  instance_id const parent = *LayoutOf(fleet, child).mParent;
  std::vector<peer_hello> larger = fleet;
  for (int index = 0; index < 12; ++index) {
    peer_hello added = fleet[child];
    added.mIdentity.mInstance = instance_id{ "new-" + std::to_string(index) };
    added.mCapacity = 900;
    larger.push_back(added);
  }
  EXPECT_EQ(LayoutOf(larger, child, parent).mParent, parent);
}

// Whatever each of them sees of the fleet, following parents ends.
TEST(TestReportLayout, ParentsNeverFormARing)
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
        LayOutReports(fleet[self], seen, {}).mParent;
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
