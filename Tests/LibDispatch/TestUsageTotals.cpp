#include <LibDispatch/UsageTotals.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestUsageTotals, SumsByWorkspaceAndSubtracts)
{
  workspace_usage const first{ workspace_id{ "a" }, 2, 3 };
  workspace_usage const second{ workspace_id{ "b" }, 5, 7 };
  usage_totals part;
  part.Add(first);
  usage_totals all;
  all.Add(std::vector{ first, second, first });
  EXPECT_EQ(
    all.List(),
    (std::vector<workspace_usage>{ { workspace_id{ "a" }, 4, 6 }, second }));
  all.Subtract(part);
  EXPECT_EQ(all.List(), (std::vector<workspace_usage>{ first, second }));
}

}
}
