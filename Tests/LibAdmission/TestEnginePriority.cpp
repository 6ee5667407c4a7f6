#include <LibAdmission/EnginePriority.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestEnginePriority, LowersPriorityOfWorkspaceAtItsRateLimit)
{
  EXPECT_EQ(EnginePriority(priority_class::Interactive, budget_state::Within),
            priority_class::Interactive);
  EXPECT_EQ(
    EnginePriority(priority_class::Interactive, budget_state::Exhausted),
    priority_class::Normal);
  EXPECT_EQ(EnginePriority(priority_class::Normal, budget_state::Exhausted),
            priority_class::Batch);
  EXPECT_EQ(EnginePriority(priority_class::Batch, budget_state::Exhausted),
            priority_class::Batch);
}

}
}
