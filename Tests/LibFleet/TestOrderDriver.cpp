#include "RestorableStore.h"
#include <LibFleet/OrderDriver.h>
#include <LibMetrics/MetricsRecorder.h>

#include <gtest/gtest.h>
#include <platform/StoreDialect.h>

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Renewals are further apart than the waits between two attempts at the lease.
constexpr seconds kTerm{ 3 };
model_name const kModel{ "m" };

/// An instance that gives orders and hears of no other.
class lone_holder
{
public:
  lone_holder(boost::asio::io_context& aContext,
              endpoint const& aStore,
              char const* aName)
    : mClient(aContext, mRecorder)
    , mDriver(
        mClient,
        aStore,
        instance_id{ aName },
        kTerm,
        [](observed_weights const&) {},
        [](server_identity const&) {})
  {
  }

  void Tick(std::span<registered_server const> aServers,
            std::span<target_weights const> aWeights)
  {
    mDriver.Tick(aServers, aWeights, 0, 0, true);
  }

private:
  metrics_recorder mRecorder;
  http_client mClient;
  order_driver<platform::store_dialect> mDriver;
};

class TestOrderDriver : public testing::Test
{
protected:
  static std::string EngineAnswer(std::string const& aRequest)
  {
    std::string const body =
      aRequest.starts_with("GET")
        ? R"({"models": [{"name": "m", "version": 1}], "seq": 0})"
        : "{}";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  // Lets both instances run until the condition holds; false if it doesn't
  // within aTime.
  bool RunFor(milliseconds aTime,
              std::span<target_weights const> aWeights,
              std::function<bool()> const& aIsDone)
  {
    steady_clock::time_point const end = steady_clock::now() + aTime;
    while (!aIsDone()) {
      if (steady_clock::now() > end)
        return false;
      for (lone_holder* const holder : { &mFirst, &mSecond })
        holder->Tick(mServers, aWeights);
      mContext.restart();
      mContext.run_for(milliseconds{ 20 });
    }
    return true;
  }

  // The instance that the newest lease names.
  std::string Holder() { return mStore.Newest("keyed.leases")["orders"]; }

  // How many orders the engine has received.
  std::size_t Orders()
  {
    std::size_t orders = 0;
    for (std::string const& request : mEngine.Requests())
      orders += request.starts_with("POST") ? 1 : 0;
    return orders;
  }

  restorable_store mStore;
  scripted_server mEngine{ EngineAnswer };
  boost::asio::io_context mContext;
  lone_holder mFirst{ mContext, mStore.Address(), "entry-1" };
  lone_holder mSecond{ mContext, mStore.Address(), "entry-2" };
  std::vector<registered_server> const mServers{
    { .mId = backend_server_id{ "engine-1" },
      .mIncarnation = incarnation{ 1 },
      .mAddress = mEngine.Address(),
      .mModels = { { .mModel = kModel, .mVersion = 1 } } }
  };
};

// Guards against weights that are never loaded: two instances that hear nothing
// of each other took the lease from one another in turn, so that the wait after
// a takeover never ended for either.
TEST_F(TestOrderDriver, InstancesThatHearNothingOfEachOtherStillGiveOrders)
{
  // Both contend for the lease before there is anything to order.
  EXPECT_FALSE(RunFor(2 * kTerm, {}, []() { return false; }));
  int changes = 0;
  std::string holder = Holder();
  EXPECT_FALSE(RunFor(2 * kTerm, {}, [this, &changes, &holder]() {
    std::string const before = std::exchange(holder, Holder());
    changes += holder != before ? 1 : 0;
    return false;
  }));
  EXPECT_LE(changes, 1);
  ASSERT_EQ(Orders(), 0U);
  std::vector<target_weights> const weights{
    { .mModel = kModel, .mVersions = { { .mVersion = 2 } } }
  };
  EXPECT_TRUE(RunFor(4 * kTerm, weights, [this]() { return Orders() > 0; }));
}

}

}
