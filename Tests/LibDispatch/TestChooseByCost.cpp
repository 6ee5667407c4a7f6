#include "AdaptivePool.h"
#include <LibDispatch/ChooseByCost.h>
#include <LibDispatch/WeightedRank.h>

#include <gtest/gtest.h>

#include <chrono>
#include <map>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };
placement_costs const kCosts;

server_choice_request
SmallRequest()
{
  return { .mNow = kNow,
           .mTokens = 870,
           .mPromptTokens = 826,
           .mSharedTokens = 198,
           .mPriority = 2,
           .mModel = adaptive_pool::Model() };
}

server_choice_request
LargeRequest(std::uint64_t aKey)
{
  return { .mNow = kNow,
           .mPromptKey = aKey * 0x9e3779b97f4a7c15ULL,
           .mTokens = 9'200,
           .mPromptTokens = 9'190,
           .mSharedTokens = 6'300,
           .mModel = adaptive_pool::Model() };
}

tracked_server*
FirstFor(adaptive_pool const& aPool, server_choice_request const& aRequest)
{
  return FirstByWeightedRank(aPool.All(), *aRequest.mPromptKey, 1, kNow)
    .front();
}

// How many of 1,000 such requests each server gets.
std::map<tracked_server*, int>
Counts(adaptive_pool const& aPool, server_choice_request aRequest)
{
  std::map<tracked_server*, int> counts;
  for (int index = 0; index < 1'000; ++index) {
    aRequest.mSample = (index + 0.5) / 1'000;
    ++counts[ChooseByCost(aPool.All(), aRequest, kCosts)];
  }
  return counts;
}

TEST(TestChooseByCost, LargePromptsGoToTheirFirstServer)
{
  adaptive_pool pool{ 30 };
  std::map<tracked_server*, int> counts;
  for (std::uint64_t key = 1; key <= 300; ++key) {
    server_choice_request const request = LargeRequest(key);
    tracked_server* const chosen = ChooseByCost(pool.All(), request, kCosts);
    EXPECT_EQ(chosen, FirstFor(pool, request));
    ++counts[chosen];
  }
  EXPECT_GT(counts.size(), 28U);
}

// A server that holds more prompts than it can serve is as bad as one that
// reads them again.
TEST(TestChooseByCost, SlowFirstServerLosesItsPromptToTheNext)
{
  adaptive_pool pool{ 30 };
  server_choice_request const request = LargeRequest(7);
  std::vector<tracked_server*> const first =
    FirstByWeightedRank(pool.All(), *request.mPromptKey, 3, kNow);
  adaptive_pool::Report(*first[0], kNow, 2, 0, 2.5);
  tracked_server* const chosen = ChooseByCost(pool.All(), request, kCosts);
  EXPECT_TRUE(chosen == first[1] || chosen == first[2]);
}

// Guards against preempted requests: 8,663 of 33,661 arrivals on K's worst day
// were rejected by servers.
TEST(TestChooseByCost, MemoryIsNotOverfilledWhileAnotherServerHasRoom)
{
  adaptive_pool pool{ 30 };
  for (std::size_t index = 0; index < 29; ++index)
    pool[index].OnStart(kNow, 110'000);
  for (std::uint64_t key = 1; key <= 200; ++key) {
    server_choice_request request = LargeRequest(key);
    request.mSample = static_cast<double>(key) / 201;
    EXPECT_EQ(ChooseByCost(pool.All(), request, kCosts), &pool[29]);
  }
  server_choice_request small = SmallRequest();
  small.mTokens = 2'000;
  EXPECT_EQ(Counts(pool, small)[&pool[29]], 1'000);
}

// The short prompts of F are the most urgent: reading a long one first would
// use up their target latency.
TEST(TestChooseByCost, UrgentSmallRequestsAreNotBehindLargeOnes)
{
  adaptive_pool pool{ 6 };
  for (std::size_t index = 0; index < 3; ++index) {
    for (int count = 0; count < 8; ++count)
      pool[index].OnStart(kNow, 9'200);
    for (int count = 0; count < 8; ++count)
      pool[index + 3].OnStart(kNow, 870);
  }
  server_choice_request request = SmallRequest();
  request.mPriority = 0;
  std::map<tracked_server*, int> counts = Counts(pool, request);
  int behindLarge = 0;
  for (std::size_t index = 0; index < 3; ++index)
    behindLarge += counts[&pool[index]];
  // Only when all three draws hit servers with large requests.
  EXPECT_LT(behindLarge, 150);
}

TEST(TestChooseByCost, RequestsFollowFreeSlotsSpeedAndSlowdown)
{
  adaptive_pool pool{ 3 };
  adaptive_pool::Report(pool[0], kNow, 12);
  adaptive_pool::Report(pool[1], kNow, 12, 0, 2.5);
  adaptive_pool::Report(pool[2], kNow, 22);
  std::map<tracked_server*, int> counts = Counts(pool, SmallRequest());
  EXPECT_GT(counts[&pool[0]], 700);
  EXPECT_GT(counts[&pool[0]], counts[&pool[1]]);
}

// Guards against a flood of the server that looked best in the last reports.
TEST(TestChooseByCost, BestServerDoesNotGetAllRequests)
{
  adaptive_pool pool{ 30 };
  for (std::size_t index = 1; index < 30; ++index)
    adaptive_pool::Report(pool[index], kNow, 4);
  EXPECT_LT(Counts(pool, SmallRequest())[&pool[0]], 150);
}

TEST(TestChooseByCost, HomeWinsWhileItIsHardlySlower)
{
  adaptive_pool pool{ 2 };
  server_choice_request request = LargeRequest(5);
  tracked_server* const first = FirstFor(pool, request);
  tracked_server* const other = first == &pool[0] ? &pool[1] : &pool[0];
  request.mSharedTokens = 1'000;
  first->mRegistered.mDomain = failure_domain{ "b" };
  other->mRegistered.mDomain = request.mDomain = failure_domain{ "a" };
  // Fetching 1,000 tokens costs 12.5 ms.
  EXPECT_EQ(ChooseByCost(pool.All(), request, kCosts), other);
  request.mSharedTokens = 6'300;
  EXPECT_EQ(ChooseByCost(pool.All(), request, kCosts), first);
}

TEST(TestChooseByCost, NewestWeightsFirstAndUrgentRequestsBeforeOthers)
{
  adaptive_pool pool{ 20 };
  for (std::size_t index = 0; index < 20; ++index)
    pool[index].mAverageTokens = 3'000;
  pool[3].mRegistered.mModels[0].mVersion = 2;
  pool[7].mRegistered.mModels[0].mVersion = 2;
  server_choice_request request = SmallRequest();
  auto const onNewest = [&]() {
    std::map<tracked_server*, int> counts = Counts(pool, request);
    return counts[&pool[3]] + counts[&pool[7]];
  };
  int const others = onNewest();
  request.mPriority = 0;
  int const urgent = onNewest();
  // Twice their part of a tenth on average.
  EXPECT_NEAR(urgent, 300, 60);
  EXPECT_GT(others, 60);
  EXPECT_LT(others, 200);
}

TEST(TestChooseByCost, TakesNoneOfTheServersThatAreNotEligible)
{
  adaptive_pool pool{ 3 };
  pool[0].mIsUpdating = true;
  pool[1].mPausedUntil = kNow + seconds{ 1 };
  server_choice_request request = SmallRequest();
  EXPECT_EQ(ChooseByCost(pool.All(), request, kCosts), &pool[2]);
  request.mTried = { pool[2].mRegistered.mId };
  EXPECT_EQ(ChooseByCost(pool.All(), request, kCosts), nullptr);
}

}
}
