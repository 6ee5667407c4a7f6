#include <LibDispatch/SpentTotals.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestSpentTotals, AddsUpByWorkspaceAndTakesBack)
{
  spent_units const first{ workspace_id{ "a" }, 2, 3 };
  spent_units const second{ workspace_id{ "b" }, 5, 7 };
  spent_totals part;
  part.Add(first);
  spent_totals all;
  all.Add(std::vector{ first, second, first });
  EXPECT_EQ(
    all.List(),
    (std::vector<spent_units>{ { workspace_id{ "a" }, 4, 6 }, second }));
  all.Subtract(part);
  EXPECT_EQ(all.List(), (std::vector<spent_units>{ first, second }));
}

}
}
