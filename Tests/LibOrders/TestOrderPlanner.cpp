#include <LibOrders/OrderPlanner.h>

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kLoadTime = milliseconds{ 400 };

/// Simulates engines that load the ordered weights; a quarter of the orders is
/// lost.
class loading_engines
{
public:
  explicit loading_engines(std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < mStates.size(); ++i)
      mStates[i].mServer = backend_server_id{ "s" + std::to_string(i) };
  }

  /// Completes the loads whose time is over; returns the number still running.
  std::size_t Advance(instant aNow)
  {
    std::size_t loading = 0;
    for (engine_state& state : mStates) {
      if (!state.mLoading.IsEmpty() && aNow >= mDoneAt[state.mServer])
        state.mLoaded = std::exchange(state.mLoading, {});
      loading += state.mLoading.IsEmpty() ? 0 : 1;
    }
    return loading;
  }

  void Execute(instant aNow, engine_order const& aOrder)
  {
    if (mRandom() % 4 == 0)
      return;
    std::size_t const which = std::stoul(aOrder.mServer.Text().substr(1));
    mStates[which].mLoading = aOrder.mWeights;
    mDoneAt[aOrder.mServer] = aNow + kLoadTime;
  }

  std::array<engine_state, 12> mStates;

private:
  std::mt19937_64 mRandom;
  std::map<backend_server_id, instant> mDoneAt;
};

void
ExpectLimitedConcurrentLoads(std::uint64_t aSeed)
{
  pool_row const pool{ .mWeights = weights_version{ "v2" },
                       .mMaxWeightLoads = 2 };
  loading_engines engines{ aSeed };
  order_planner planner{ seconds{ 2 } };
  instant const end{ seconds{ 120 } };
  for (instant now{ seconds{ 1 } }; now < end; now += milliseconds{ 50 }) {
    ASSERT_LE(engines.Advance(now), 2U) << "seed " << aSeed;
    std::vector<engine_order> const orders =
      planner.Plan(now, pool, engines.mStates, fencing_number{ 7 });
    for (engine_order const& order : orders)
      engines.Execute(now, order);
  }
  for (engine_state const& engine : engines.mStates)
    EXPECT_EQ(engine.mLoaded, pool.mWeights) << "seed " << aSeed;
}

// Guards against more concurrent loads than the pool's row allows, and against
// engines that keep their old weights because an order to them was lost.
TEST(TestOrderPlanner, KeepsConcurrentLoadsWithinTheLimitOfThePoolRow)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed)
    ExpectLimitedConcurrentLoads(seed);
}

}
}
