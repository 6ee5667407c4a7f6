#include <LibAdmission/FairQueue.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

constexpr instant kLater = instant{} + 10s;

admission_request
Waiting(std::uint64_t aTicket, char const* aWorkspace, token_count aCost)
{
  return { .mTicket = ticket{ aTicket },
           .mWorkspace = workspace_id{ aWorkspace },
           .mCost = aCost,
           .mDeadline = kLater };
}

TEST(TestFairQueue, SharesTokensNotRequests)
{
  fair_queue queue;
  for (std::uint64_t index = 0; index < 400; ++index) {
    queue.Enqueue(Waiting(index, "long", 8000));
    queue.Enqueue(Waiting(1000 + index, "short", 1000));
  }
  token_count longTokens = 0;
  token_count shortTokens = 0;
  for (ticket const admitted : queue.Next(instant{}, 200).mAdmitted) {
    if (admitted < ticket{ 1000 })
      longTokens += 8000;
    else
      shortTokens += 1000;
  }
  EXPECT_NEAR(static_cast<double>(longTokens), shortTokens, 8192);
}

TEST(TestFairQueue, ManyRequestsOfOneWorkspaceDoNotDelayAnother)
{
  fair_queue queue;
  for (std::uint64_t index = 0; index < 500; ++index)
    queue.Enqueue(Waiting(index, "flood", 4000));
  queue.Enqueue(Waiting(900, "quiet", 4000));
  admission_batch const batch = queue.Next(instant{}, 2);
  EXPECT_NE(std::ranges::find(batch.mAdmitted, ticket{ 900 }),
            batch.mAdmitted.end());
}

TEST(TestFairQueue, WeightsScaleShares)
{
  fair_queue queue;
  queue.SetWeight(workspace_id{ "heavy" }, 3);
  for (std::uint64_t index = 0; index < 400; ++index) {
    queue.Enqueue(Waiting(index, "heavy", 4096));
    queue.Enqueue(Waiting(1000 + index, "light", 4096));
  }
  std::vector<ticket> const admitted = queue.Next(instant{}, 100).mAdmitted;
  EXPECT_EQ(
    std::ranges::count_if(
      admitted, [](ticket aTicket) { return aTicket < ticket{ 1000 }; }),
    75);
}

TEST(TestFairQueue, ServesHigherClassesFirstWithoutStarvingLowerOnes)
{
  fair_queue queue{ { .mLowerClassInterval = 4 } };
  for (std::uint64_t index = 0; index < 20; ++index) {
    admission_request batch = Waiting(index, "a", 100);
    batch.mPriority = priority_class::Batch;
    queue.Enqueue(batch);
    admission_request interactive = Waiting(100 + index, "a", 100);
    interactive.mPriority = priority_class::Interactive;
    queue.Enqueue(interactive);
  }
  std::vector<ticket> const admitted = queue.Next(instant{}, 8).mAdmitted;
  EXPECT_EQ(std::ranges::count_if(
              admitted, [](ticket aTicket) { return aTicket < ticket{ 100 }; }),
            2);
}

TEST(TestFairQueue, ExpiredRequestsAreNeverAdmitted)
{
  fair_queue queue;
  admission_request soon = Waiting(1, "a", 100);
  soon.mDeadline = instant{} + 1s;
  queue.Enqueue(soon);
  queue.Enqueue(Waiting(2, "a", 100));
  EXPECT_EQ(queue.NextDeadline(), instant{} + 1s);
  admission_batch const batch = queue.Next(instant{} + 1s, 10);
  EXPECT_EQ(batch.mExpired, std::vector{ ticket{ 1 } });
  EXPECT_EQ(batch.mAdmitted, std::vector{ ticket{ 2 } });
  EXPECT_EQ(queue.NextDeadline(), std::nullopt);
}

TEST(TestFairQueue, EnforcesLimitsAndFreesCapacityOnCancel)
{
  fair_queue queue{ { .mMaxWaiting = 2, .mMaxWaitingPerWorkspace = 1 } };
  EXPECT_EQ(queue.Enqueue(Waiting(1, "a", 1)), enqueue_result::Queued);
  EXPECT_EQ(queue.Enqueue(Waiting(2, "a", 1)), enqueue_result::WorkspaceFull);
  EXPECT_EQ(queue.Enqueue(Waiting(3, "b", 1)), enqueue_result::Queued);
  EXPECT_EQ(queue.Enqueue(Waiting(4, "c", 1)), enqueue_result::QueueFull);
  EXPECT_TRUE(queue.Cancel(ticket{ 1 }));
  EXPECT_FALSE(queue.Cancel(ticket{ 1 }));
  EXPECT_EQ(queue.Enqueue(Waiting(5, "a", 1)), enqueue_result::Queued);
}

}
}
