#include <LibMembership/DrainState.h>

#include <gtest/gtest.h>

#include <random>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr drain_options kOptions{ .mAddressTtl = seconds{ 10 },
                                  .mSpread = seconds{ 2 },
                                  .mFinish = seconds{ 60 } };

TEST(TestDrainState, GoesThroughItsPhases)
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

// Callers learn addresses from peers that hear of the stop late, use them for
// their whole time to live, and run requests of any length within the bound.
std::size_t
CountCutRequests(drain_options const& aOptions, std::uint32_t aSeed)
{
  std::mt19937 random{ aSeed };
  auto const upTo = [&random](duration aMost) {
    std::uniform_int_distribution<duration::rep> span{ 0, aMost.count() };
    return duration{ span(random) };
  };
  instant const stop{};
  drain_state drain{ aOptions };
  drain.Begin(stop);
  std::size_t cut = 0;
  for (int i = 0; i < 200; ++i) {
    instant const learned = stop + upTo(kOptions.mSpread);
    instant const arrives = learned + upTo(kOptions.mAddressTtl);
    instant const ends = arrives + upTo(kOptions.mFinish);
    bool const isRefused = !drain.Accepts(arrives);
    bool const isEnded = drain.Phase(ends, 1) == drain_phase::Done;
    cut += isRefused || isEnded;
  }
  return cut;
}

TEST(TestDrainState, CutsNoRequestOfACallerWhoWasTold)
{
  for (std::uint32_t seed = 0; seed < 300; ++seed)
    EXPECT_EQ(CountCutRequests(kOptions, seed), 0u) << "seed " << seed;
}

// A stop that refuses at once must be found by the check above.
TEST(TestDrainState, RefusingAtOnceCutsRequests)
{
  drain_options hasty = kOptions;
  hasty.mAddressTtl = duration::zero();
  hasty.mSpread = duration::zero();
  EXPECT_GT(CountCutRequests(hasty, 1), 0u);
}

}
}
