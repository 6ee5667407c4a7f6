#include <LibPlacement/PrefixCostPolicy.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

class TestPrefixCostPolicy : public testing::Test
{
protected:
  TestPrefixCostPolicy()
  {
    for (std::size_t index = 0; index < mServers.size(); ++index) {
      mServers[index].mServer = backend_server_id{ std::to_string(index) };
      mServers[index].mIncarnation = incarnation{ 7 };
    }
    mKnown = { { .mServer = mServers[1].mServer,
                 .mIncarnation = incarnation{ 7 },
                 .mTokens = 7000 } };
    mRequest = { .mRoot = block_hash{ 9 },
                 .mPromptTokens = 8000,
                 .mKnown = mKnown,
                 .mKnowledge = knowledge_state::Answered };
  }

  placement_choice Choose() const
  {
    return *prefix_cost_policy{}.Choose(mRequest, mServers, instant{});
  }

  std::vector<placement_candidate> mServers{ 3 };
  std::vector<known_prefix> mKnown;
  placement_request mRequest;
};

TEST_F(TestPrefixCostPolicy, TakesTheServerThatHoldsThePrefix)
{
  EXPECT_EQ(Choose().mIndex, 1U);
  EXPECT_EQ(Choose().mReason, placement_reason::CachedPrefix);
  EXPECT_EQ(Choose().mExpectedCached, 7000);
}

TEST_F(TestPrefixCostPolicy, AHotPrefixSpreadsOnceItsHolderIsBusy)
{
  mServers[1].mLoad.mQueuedTokens = 40'000;
  EXPECT_NE(Choose().mIndex, 1U);
  EXPECT_EQ(Choose().mReason, placement_reason::Recompute);
}

TEST_F(TestPrefixCostPolicy, AnotherLifeOfTheHolderCountsForNothing)
{
  mServers[1].mIncarnation = incarnation{ 8 };
  EXPECT_EQ(Choose().mExpectedCached, 0);
  EXPECT_EQ(Choose().mReason, placement_reason::Recompute);
}

TEST_F(TestPrefixCostPolicy, ImportsStoredPiecesWhereThatIsCheaper)
{
  mServers[1].mBreaker = breaker_state::Open;
  mRequest.mStoredTokens = 4096;
  EXPECT_EQ(Choose().mReason, placement_reason::StoredPieces);
  EXPECT_EQ(Choose().mStoredTokens, 4096);
  mServers[1].mBreaker = breaker_state::Closed;
  EXPECT_EQ(Choose().mReason, placement_reason::CachedPrefix);
}

TEST_F(TestPrefixCostPolicy, WithoutKnowledgeHashingDecides)
{
  mRequest.mKnowledge = knowledge_state::Missing;
  EXPECT_EQ(Choose().mReason, placement_reason::HashOwner);
}

TEST_F(TestPrefixCostPolicy, PrefersTheNearerOfEquals)
{
  mRequest.mKnown = {};
  prefix_cost_policy const exact{ { .mTieWidth = 0ms } };
  mRequest.mFailureDomain = failure_domain{ "b" };
  mServers[2].mFailureDomain = failure_domain{ "b" };
  EXPECT_EQ(exact.Choose(mRequest, mServers, instant{})->mIndex, 2U);
}

TEST_F(TestPrefixCostPolicy, AgesLoadByItsLag)
{
  mServers[1].mLoad = { .mQueuedTokens = 40'000, .mMeasuredAt = instant{} };
  placement_choice const later =
    *prefix_cost_policy{}.Choose(mRequest, mServers, instant{} + 5s);
  EXPECT_EQ(later.mIndex, 1U);
}

}
}
