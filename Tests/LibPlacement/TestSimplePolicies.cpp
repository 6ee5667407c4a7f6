#include <LibPlacement/LeastLoadedPolicy.h>
#include <LibPlacement/RendezvousPolicy.h>
#include <LibPlacement/RoundRobinPolicy.h>

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace lycheeseam {
namespace {

std::vector<placement_candidate>
Servers(std::size_t aCount)
{
  std::vector<placement_candidate> servers(aCount);
  for (std::size_t index = 0; index < aCount; ++index)
    servers[index].mServer =
      backend_server_id{ "worker-" + std::to_string(index) };
  return servers;
}

placement_request
Prompt(std::uint64_t aRoot)
{
  return { .mRoot = block_hash{ aRoot }, .mPromptTokens = 1000 };
}

template<placement_policy Policy>
void
ExpectOnlyEligible(Policy aPolicy)
{
  std::vector<placement_candidate> servers = Servers(3);
  servers[0].mBreaker = breaker_state::Open;
  servers[1].mWindow = 0;
  for (std::uint64_t root = 0; root < 20; ++root)
    EXPECT_EQ(aPolicy.Choose(Prompt(root), servers, instant{})->mIndex, 2U);
  servers[2].mBreaker = breaker_state::HalfOpen;
  EXPECT_TRUE(aPolicy.Choose(Prompt(1), servers, instant{}));
  servers[2].mOutstanding = 1;
  EXPECT_FALSE(aPolicy.Choose(Prompt(1), servers, instant{}));
}

TEST(TestSimplePolicies, ChooseOnlyEligibleServers)
{
  ExpectOnlyEligible(round_robin_policy{});
  ExpectOnlyEligible(least_loaded_policy{});
  ExpectOnlyEligible(rendezvous_policy{});
}

TEST(TestSimplePolicies, RoundRobinChoosesServersInTurn)
{
  round_robin_policy policy;
  std::vector<placement_candidate> const servers = Servers(3);
  for (std::size_t const expected : { 0, 1, 2, 0, 1, 2 })
    EXPECT_EQ(policy.Choose(Prompt(7), servers, instant{})->mIndex, expected);
}

TEST(TestSimplePolicies, LeastLoadedCountsTokensSentSinceTheReport)
{
  least_loaded_policy policy;
  std::vector<placement_candidate> servers = Servers(2);
  servers[0].mLoad.mQueuedTokens = 100;
  servers[1].mSentTokens = 200;
  EXPECT_EQ(policy.Choose(Prompt(7), servers, instant{})->mIndex, 0U);
}

TEST(TestSimplePolicies, RendezvousMovesOnlyPrefixesOfARemovedServer)
{
  rendezvous_policy const policy;
  std::vector<placement_candidate> const all = Servers(10);
  std::vector<placement_candidate> const fewer = Servers(9);
  int moved = 0;
  for (std::uint64_t root = 0; root < 500; ++root) {
    placement_choice const before = *policy.Choose(Prompt(root), all, {});
    placement_choice const after = *policy.Choose(Prompt(root), fewer, {});
    EXPECT_EQ(before.mReason, placement_reason::HashOwner);
    if (before.mServer != after.mServer) {
      EXPECT_EQ(before.mServer, all.back().mServer);
      ++moved;
    }
  }
  EXPECT_GT(moved, 20);
  EXPECT_LT(moved, 90);
}

TEST(TestSimplePolicies, RendezvousSkipsAServerAboveTheLoadBound)
{
  rendezvous_policy const policy;
  std::vector<placement_candidate> servers = Servers(4);
  placement_choice const owner = *policy.Choose(Prompt(7), servers, {});
  servers[owner.mIndex].mOutstanding = 20;
  placement_choice const next = *policy.Choose(Prompt(7), servers, {});
  EXPECT_NE(next.mIndex, owner.mIndex);
  EXPECT_EQ(next.mReason, placement_reason::HashNext);
}

}
}
