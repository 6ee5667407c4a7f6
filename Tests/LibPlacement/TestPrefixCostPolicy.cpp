#include <LibPlacement/PrefixCostPolicy.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

/// Three servers, the second of which holds most of the prompt.
struct scene
{
  scene()
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

  [[nodiscard]] placement_choice Choose() const
  {
    return *prefix_cost_policy{}.Choose(mRequest, mServers, instant{});
  }

  std::vector<placement_candidate> mServers{ 3 };
  std::vector<known_prefix> mKnown;
  placement_request mRequest;
};

TEST(TestPrefixCostPolicy, TakesTheServerThatHoldsThePrefix)
{
  scene given;
  EXPECT_EQ(given.Choose().mIndex, 1U);
  EXPECT_EQ(given.Choose().mReason, placement_reason::CachedPrefix);
  EXPECT_EQ(given.Choose().mExpectedCached, 7000);
}

TEST(TestPrefixCostPolicy, AHotPrefixSpreadsOnceItsHolderIsBusy)
{
  scene given;
  given.mServers[1].mLoad.mQueuedTokens = 40'000;
  EXPECT_NE(given.Choose().mIndex, 1U);
  EXPECT_EQ(given.Choose().mReason, placement_reason::Recompute);
}

TEST(TestPrefixCostPolicy, AnotherLifeOfTheHolderCountsForNothing)
{
  scene given;
  given.mServers[1].mIncarnation = incarnation{ 8 };
  EXPECT_EQ(given.Choose().mExpectedCached, 0);
  EXPECT_EQ(given.Choose().mReason, placement_reason::Recompute);
}

TEST(TestPrefixCostPolicy, ImportsStoredPiecesWhereThatIsCheaper)
{
  scene given;
  given.mServers[1].mBreaker = breaker_state::Open;
  given.mRequest.mStoredTokens = 4096;
  EXPECT_EQ(given.Choose().mReason, placement_reason::StoredPieces);
  EXPECT_EQ(given.Choose().mStoredTokens, 4096);
  given.mServers[1].mBreaker = breaker_state::Closed;
  EXPECT_EQ(given.Choose().mReason, placement_reason::CachedPrefix);
}

TEST(TestPrefixCostPolicy, WithoutKnowledgeHashingDecides)
{
  scene given;
  given.mRequest.mKnowledge = knowledge_state::Missing;
  EXPECT_EQ(given.Choose().mReason, placement_reason::HashOwner);
}

TEST(TestPrefixCostPolicy, PrefersTheNearerOfEquals)
{
  scene given;
  given.mRequest.mKnown = {};
  given.mRequest.mFailureDomain = failure_domain{ "b" };
  given.mServers[2].mFailureDomain = failure_domain{ "b" };
  EXPECT_EQ(given.Choose().mIndex, 2U);
}

TEST(TestPrefixCostPolicy, AgesLoadByItsLag)
{
  scene given;
  given.mServers[1].mLoad = { .mQueuedTokens = 40'000,
                              .mMeasuredAt = instant{} };
  placement_choice const later = *prefix_cost_policy{}.Choose(
    given.mRequest, given.mServers, instant{} + 5s);
  EXPECT_EQ(later.mIndex, 1U);
}

}
}
