#include <LibMembership/DrainState.h>

#include <gtest/gtest.h>

#include <random>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr drain_options kOptions{ .mAddressTtl = seconds{ 10 },
                                  .mPropagationTime = seconds{ 2 },
                                  .mFinishTimeout = seconds{ 60 } };

TEST(TestDrainState, PhasesFollowTheConfiguredDurations)
{
  instant const start{};
  drain_state drain{ kOptions };
  EXPECT_EQ(drain.Phase(start, 0), drain_phase::Serving);
  drain.Begin(start);
  drain.Begin(start + seconds{ 5 });
  EXPECT_EQ(drain.Phase(start + seconds{ 11 }, 0), drain_phase::Announced);
  EXPECT_TRUE(drain.Accepts(start + seconds{ 11 }));
  EXPECT_FALSE(drain.Accepts(start + seconds{ 12 }));
  EXPECT_EQ(drain.Phase(start + seconds{ 12 }, 3), drain_phase::Finishing);
  EXPECT_EQ(drain.Phase(start + seconds{ 13 }, 0), drain_phase::Done);
  EXPECT_EQ(drain.Phase(start + seconds{ 72 }, 3), drain_phase::Done);
}

// Callers get the address from peers that learn of the stop late, use it for up
// to its time to live, and send requests that take up to the limit. Returns
// how many of these requests are refused or cut off.
std::size_t
CountFailedRequests(drain_options const& aOptions, std::uint32_t aSeed)
{
  std::mt19937 random{ aSeed };
  auto const upTo = [&random](duration aMost) {
    std::uniform_int_distribution<duration::rep> span{ 0, aMost.count() };
    return duration{ span(random) };
  };
  instant const stop{};
  drain_state drain{ aOptions };
  drain.Begin(stop);
  std::size_t failed = 0;
  for (int i = 0; i < 200; ++i) {
    instant const learned = stop + upTo(kOptions.mPropagationTime);
    instant const arrives = learned + upTo(kOptions.mAddressTtl);
    instant const ends = arrives + upTo(kOptions.mFinishTimeout);
    bool const isRefused = !drain.Accepts(arrives);
    bool const isEnded = drain.Phase(ends, 1) == drain_phase::Done;
    failed += isRefused || isEnded;
  }
  return failed;
}

TEST(TestDrainState, NoRequestWithinItsLimitsFails)
{
  for (std::uint32_t seed = 0; seed < 300; ++seed)
    EXPECT_EQ(CountFailedRequests(kOptions, seed), 0u) << "seed " << seed;
}

// The count above must detect a stop that refuses requests at once.
TEST(TestDrainState, ImmediateRefusalFailsRequests)
{
  drain_options immediate = kOptions;
  immediate.mAddressTtl = duration::zero();
  immediate.mPropagationTime = duration::zero();
  EXPECT_GT(CountFailedRequests(immediate, 1), 0u);
}

}
}
