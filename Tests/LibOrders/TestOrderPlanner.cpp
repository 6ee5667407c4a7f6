#include <LibOrders/OrderPlanner.h>

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Orders and their answers are lost at random; a load takes 400 ms.
TEST(TestOrderPlanner, NeverLoadsMoreAtOnceThanTheRowAllows)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random{ seed };
    pool_row const pool{ .mWeights = weights_version{ "v2" },
                         .mMaxWeightLoads = 2 };
    std::vector<engine_state> engines(12);
    std::vector<instant> doneAt(12);
    for (std::size_t i = 0; i < engines.size(); ++i)
      engines[i].mServer = backend_server_id{ "s" + std::to_string(i) };
    order_planner planner{ seconds{ 2 } };
    instant now{ seconds{ 1 } };
    for (; now < instant{ seconds{ 120 } }; now += milliseconds{ 50 }) {
      std::size_t loading = 0;
      for (std::size_t i = 0; i < engines.size(); ++i) {
        if (!engines[i].mLoading.IsEmpty() && now >= doneAt[i]) {
          engines[i].mLoaded = engines[i].mLoading;
          engines[i].mLoading = {};
        }
        loading += engines[i].mLoading.IsEmpty() ? 0 : 1;
      }
      ASSERT_LE(loading, 2U) << "seed " << seed;
      for (engine_order const& order :
           planner.Plan(now, pool, engines, fencing_number{ 7 })) {
        std::size_t const i = std::stoul(order.mServer.Text().substr(1));
        EXPECT_EQ(order.mFencing, fencing_number{ 7 });
        if (random() % 4 == 0)
          continue;
        engines[i].mLoading = order.mWeights;
        doneAt[i] = now + milliseconds{ 400 };
      }
    }
    for (engine_state const& engine : engines)
      EXPECT_EQ(engine.mLoaded, pool.mWeights) << "seed " << seed;
  }
}

}
}
