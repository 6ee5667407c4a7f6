#include <LibMembership/CallerAddresses.h>

#include <Tests/LibMembership/MakeMembers.h>
#include <gtest/gtest.h>

#include <map>

namespace lycheeseam {
namespace {

TEST(TestCallerAddresses, OwnDomainComesFirst)
{
  std::vector<member> const members = MakeMembers(8, 4);
  std::vector<caller_address> const found =
    ChooseCallerAddresses(members, failure_domain{ "d2" }, 5, {});
  ASSERT_EQ(found.size(), 8u);
  EXPECT_EQ(found[0].mFailureDomain, failure_domain{ "d2" });
  EXPECT_EQ(found[1].mFailureDomain, failure_domain{ "d2" });
  EXPECT_NE(found[2].mFailureDomain, failure_domain{ "d2" });
}

TEST(TestCallerAddresses, LargeFleetsReserveAddressesOfOtherDomains)
{
  std::vector<member> const members = MakeMembers(330, 12);
  std::vector<caller_address> const found =
    ChooseCallerAddresses(members, failure_domain{ "d2" }, 5, {});
  ASSERT_EQ(found.size(), 8u);
  EXPECT_EQ(found[5].mFailureDomain, failure_domain{ "d2" });
  EXPECT_NE(found[6].mFailureDomain, failure_domain{ "d2" });
}

TEST(TestCallerAddresses, AnUnknownDomainGetsAddressesOfAny)
{
  std::vector<member> const members = MakeMembers(8, 4);
  EXPECT_EQ(ChooseCallerAddresses(members, {}, 1, {}).size(), 8u);
  EXPECT_TRUE(ChooseCallerAddresses({}, {}, 1, {}).empty());
}

TEST(TestCallerAddresses, SpreadsCallersEvenly)
{
  std::vector<member> const members = MakeMembers(8, 4);
  std::map<instance_id, int> firsts;
  constexpr int kCallers = 4000;
  constexpr double kEach = kCallers / 8.0;
  for (int i = 0; i < kCallers; ++i) {
    failure_domain const domain{ "d" + std::to_string(i % 4) };
    std::uint64_t const seed = static_cast<std::uint64_t>(i);
    ++firsts[ChooseCallerAddresses(members, domain, seed, {})[0].mInstance];
  }
  for (auto const& [instance, count] : firsts)
    EXPECT_NEAR(count, kEach, kEach / 5);
}

}
}
