#include <LibPlacement/PrefixCostPolicy.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

/// Three servers, the second of which has most of the prompt cached.
struct three_servers
{
  three_servers()
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
                 .mLookupState = lookup_state::Answered };
  }

  [[nodiscard]] placement_choice Choose() const
  {
    return *prefix_cost_policy{}.Choose(mRequest, mServers, instant{});
  }

  std::vector<placement_candidate> mServers{ 3 };
  std::vector<known_prefix> mKnown;
  placement_request mRequest;
};

TEST(TestPrefixCostPolicy, ChoosesTheServerThatCachesThePrefix)
{
  three_servers given;
  EXPECT_EQ(given.Choose().mIndex, 1U);
  EXPECT_EQ(given.Choose().mReason, placement_reason::CachedPrefix);
  EXPECT_EQ(given.Choose().mExpectedCached, 7000);
}

TEST(TestPrefixCostPolicy, AHotPrefixSpreadsWhenItsServerIsBusy)
{
  three_servers given;
  given.mServers[1].mLoad.mQueuedTokens = 40'000;
  EXPECT_NE(given.Choose().mIndex, 1U);
  EXPECT_EQ(given.Choose().mReason, placement_reason::Recompute);
}

TEST(TestPrefixCostPolicy, APrefixOfAnotherIncarnationIsIgnored)
{
  three_servers given;
  given.mServers[1].mIncarnation = incarnation{ 8 };
  EXPECT_EQ(given.Choose().mExpectedCached, 0);
  EXPECT_EQ(given.Choose().mReason, placement_reason::Recompute);
}

TEST(TestPrefixCostPolicy, ImportsStoredPiecesWhereThatIsCheaper)
{
  three_servers given;
  given.mServers[1].mBreaker = breaker_state::Open;
  given.mRequest.mStoredTokens = 4096;
  EXPECT_EQ(given.Choose().mReason, placement_reason::StoredPieces);
  EXPECT_EQ(given.Choose().mStoredTokens, 4096);
  given.mServers[1].mBreaker = breaker_state::Closed;
  EXPECT_EQ(given.Choose().mReason, placement_reason::CachedPrefix);
}

TEST(TestPrefixCostPolicy, HashingDecidesWithoutALookupAnswer)
{
  three_servers given;
  given.mRequest.mLookupState = lookup_state::Missing;
  EXPECT_EQ(given.Choose().mReason, placement_reason::HashOwner);
}

TEST(TestPrefixCostPolicy, PrefersItsOwnFailureDomainAmongEquals)
{
  three_servers given;
  given.mRequest.mKnown = {};
  given.mRequest.mFailureDomain = failure_domain{ "b" };
  given.mServers[2].mFailureDomain = failure_domain{ "b" };
  EXPECT_EQ(given.Choose().mIndex, 2U);
}

TEST(TestPrefixCostPolicy, ReducesTheReportedLoadByItsAge)
{
  three_servers given;
  given.mServers[1].mLoad = { .mQueuedTokens = 40'000,
                              .mMeasuredAt = instant{} };
  placement_choice const later = *prefix_cost_policy{}.Choose(
    given.mRequest, given.mServers, instant{} + 5s);
  EXPECT_EQ(later.mIndex, 1U);
}

}
}
