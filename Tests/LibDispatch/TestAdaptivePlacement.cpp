#include "AdaptivePool.h"
#include <LibDispatch/AdaptivePlacement.h>
#include <LibDispatch/DrawServers.h>

#include <gtest/gtest.h>

#include <chrono>
#include <map>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

pool_name const kPool{ "p" };
instant const kNow{ seconds{ 100 } };
constexpr int kRequests = 2'000;

/// The requests of one instance in domain "a" on servers in three domains.
class TestAdaptivePlacement : public testing::Test
{
protected:
  TestAdaptivePlacement()
  {
    mPool.Divide(3);
    SetLoad(0, 8, 2);
    mRequest = { .mNow = kNow,
                 .mDomain = failure_domain{ "a" },
                 .mTokens = 870,
                 .mPromptTokens = 826,
                 .mSharedTokens = 198,
                 .mPriority = 2,
                 .mBytes = 5'000,
                 .mModel = adaptive_pool::Model() };
  }

  // All servers from aFrom on report requests.
  void SetLoad(std::size_t aFrom, std::size_t aCount, std::uint32_t aRunning)
  {
    for (std::size_t index = aFrom; index < aFrom + aCount; ++index)
      adaptive_pool::Report(mPool[index], mRequest.mNow, aRunning);
  }

  // How many of kRequests go to each domain, by the reason of crossing.
  std::map<crossing_reason, int> Send()
  {
    std::map<crossing_reason, int> counts;
    for (int index = 0; index < kRequests; ++index) {
      mRequest.mSample = (index + 0.5) / kRequests;
      server_choice const choice =
        mPlacement.Choose(kPool, mPool.All(), mRequest);
      EXPECT_NE(choice.mServer, nullptr);
      bool const isAway =
        choice.mServer->mRegistered.mDomain != mRequest.mDomain;
      EXPECT_EQ(isAway, choice.mCrossing != crossing_reason::None);
      ++counts[choice.mCrossing];
    }
    return counts;
  }

  // Lets time pass under the same reports, as if they were repeated.
  void Settle(milliseconds aSpan)
  {
    for (milliseconds past{ 0 }; past < aSpan; past += milliseconds{ 50 }) {
      mRequest.mNow += milliseconds{ 50 };
      for (std::size_t index = 0; index < mPool.Size(); ++index) {
        if (mPool[index].mLoad)
          mPool[index].mLoad->mReportedAt = mRequest.mNow;
      }
      static_cast<void>(mPlacement.Choose(kPool, mPool.All(), mRequest));
    }
  }

  adaptive_pool mPool{ 90 };
  adaptive_placement mPlacement;
  server_choice_request mRequest;
};

TEST_F(TestAdaptivePlacement, SmallPromptsStayAtHomeWhileItIsNotFull)
{
  SetLoad(0, 90, 12);
  Settle(seconds{ 5 });
  EXPECT_EQ(Send()[crossing_reason::None], kRequests);
}

TEST_F(TestAdaptivePlacement, SurplusOfSmallPromptsLeaves)
{
  SetLoad(0, 30, 23);
  SetLoad(30, 60, 6);
  Settle(seconds{ 5 });
  double const share = mPlacement.LeavingShare(kPool);
  EXPECT_GT(share, 0.2);
  EXPECT_NEAR(Send()[crossing_reason::Surplus], share * kRequests, 60);
}

// Requests that leave are drawn in proportion to what the domains have free.
TEST_F(TestAdaptivePlacement, SurplusGoesWhereCapacityIsFree)
{
  SetLoad(0, 30, 23);
  SetLoad(30, 30, 4);
  SetLoad(60, 30, 22);
  Settle(seconds{ 5 });
  std::map<failure_domain, int> counts;
  for (int index = 0; index < kRequests; ++index) {
    mRequest.mSample = (index + 0.5) / kRequests;
    ++counts[mPlacement.Choose(kPool, mPool.All(), mRequest)
               .mServer->mRegistered.mDomain];
  }
  EXPECT_GT(counts[failure_domain{ "b" }], 5 * counts[failure_domain{ "c" }]);
}

TEST_F(TestAdaptivePlacement, ZoneThatLosesAllServersUsesAllOthers)
{
  for (std::size_t index = 0; index < 30; ++index)
    mPool[index].mBreaker.OnUnreachable(mRequest.mNow);
  EXPECT_EQ(Send()[crossing_reason::NoHomeServer], kRequests);
}

TEST_F(TestAdaptivePlacement, ZoneWithoutServersUsesAll)
{
  mRequest.mDomain = failure_domain{ "z" };
  SetLoad(0, 90, 23);
  Settle(seconds{ 3 });
  EXPECT_EQ(Send()[crossing_reason::NoHomeServer], kRequests);
}

TEST_F(TestAdaptivePlacement, UnknownZoneUsesAllEvenly)
{
  mRequest.mDomain = failure_domain{};
  std::map<failure_domain, int> counts;
  for (int index = 0; index < kRequests; ++index) {
    mRequest.mSample = (index + 0.5) / kRequests;
    ++counts[mPlacement.Choose(kPool, mPool.All(), mRequest)
               .mServer->mRegistered.mDomain];
  }
  EXPECT_EQ(counts.size(), 3U);
  for (auto const& [domain, count] : counts)
    EXPECT_NEAR(count, kRequests / 3.0, kRequests / 10.0);
}

// Reading a large shared part again costs more than the bytes that cross.
TEST_F(TestAdaptivePlacement, LargePromptsGoWhereTheyAreCached)
{
  SetLoad(0, 90, 6);
  std::map<failure_domain, int> counts;
  mRequest.mTokens = 9'200;
  mRequest.mPromptTokens = 9'190;
  mRequest.mSharedTokens = 6'300;
  for (std::uint64_t key = 1; key <= 300; ++key) {
    mRequest.mPromptKey = key * 0x9e3779b97f4a7c15ULL;
    ++counts[mPlacement.Choose(kPool, mPool.All(), mRequest)
               .mServer->mRegistered.mDomain];
  }
  for (auto const& [domain, count] : counts)
    EXPECT_GT(count, 60);
}

TEST_F(TestAdaptivePlacement, PlainRequestsLeaveOnlyWithoutAFreeSlotAtHome)
{
  adaptive_pool pool{ 3, 6, 0 };
  pool.Divide(3);
  mRequest.mModel = model_name{};
  adaptive_pool::Report(pool[0], mRequest.mNow, 5);
  adaptive_pool::Report(pool[1], mRequest.mNow, 0);
  adaptive_pool::Report(pool[2], mRequest.mNow, 4);
  EXPECT_EQ(mPlacement.Choose(kPool, pool.All(), mRequest).mServer, &pool[0]);
  adaptive_pool::Report(pool[0], mRequest.mNow, 6);
  std::map<tracked_server*, int> counts;
  for (int index = 0; index < kRequests; ++index) {
    mRequest.mSample = (index + 0.5) / kRequests;
    ++counts[mPlacement.Choose(kPool, pool.All(), mRequest).mServer];
  }
  EXPECT_EQ(counts[&pool[0]], 0);
  EXPECT_GT(counts[&pool[1]], counts[&pool[2]]);
  EXPECT_GT(counts[&pool[2]], 0);
}

}
}
