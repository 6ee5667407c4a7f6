#include <LibDispatch/ChooseServer.h>
#include <LibGateway/TrafficCore.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

pool_name const kPool{ "p" };
model_name const kModel{ "m" };
constexpr token_count kTokens = 1'000;
constexpr milliseconds kStep{ 10 };
constexpr milliseconds kRunTime{ 400 };

/// Instances that share a pool of engines and learn of their limits from
/// answers alone, in virtual time.
class limited_pool
{
public:
  limited_pool(int aInstances, int aServers)
  {
    fleet_view view{ .mInstances = static_cast<std::uint32_t>(aInstances) };
    for (int index = 0; index < aServers; ++index)
      view.mServers.push_back(
        { .mId = ServerName(index),
          .mPool = kPool,
          .mSlots = 64,
          .mModels = { { .mModel = kModel, .mVersion = 1 } } });
    for (int index = 0; index < aInstances; ++index)
      view.mReadyInstances.push_back({ .mInstance = InstanceName(index) });
    mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
    for (int index = 0; index < aInstances; ++index) {
      mOptions.push_back({ .mInstance = InstanceName(index) });
      mCores.push_back(std::make_unique<traffic_core>(mOptions.back(), mView));
    }
  }

  /// The server names a limit in its answers from now on; 0 for none.
  void Limit(int aServer, double aRequestsPerSecond)
  {
    mLimits[ServerName(aServer)] = aRequestsPerSecond;
  }

  /// Runs all instances, each of which gets requests at a rate.
  void Run(milliseconds aTime, double aRequestsPerSecond)
  {
    std::bernoulli_distribution arrives{
      aRequestsPerSecond * std::chrono::duration<double>(kStep).count()
    };
    for (instant const end = mNow + aTime; mNow < end; mNow += kStep) {
      Answer();
      for (std::unique_ptr<traffic_core> const& core : mCores) {
        core->View(mNow);
        if (arrives(mRandom))
          Send(*core);
      }
    }
  }

  /// The most requests that the server got in any span of that length since a
  /// time.
  [[nodiscard]] std::size_t MostArrivals(int aServer,
                                         milliseconds aSpan,
                                         instant aSince)
  {
    std::vector<instant> const& arrivals = mArrivals[ServerName(aServer)];
    std::size_t most = 0;
    for (auto first =
           std::lower_bound(arrivals.begin(), arrivals.end(), aSince);
         first != arrivals.end();
         ++first) {
      auto const end = std::upper_bound(first, arrivals.end(), *first + aSpan);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  [[nodiscard]] std::size_t Refused() const { return mRefused; }
  [[nodiscard]] instant Now() const { return mNow; }

  static backend_server_id ServerName(int aIndex)
  {
    return backend_server_id{ "engine-" + std::to_string(aIndex) };
  }

private:
  struct pending_answer
  {
    instant mAt{};
    traffic_core* mCore = nullptr;
    std::shared_ptr<tracked_server> mServer;
  };

  static instance_id InstanceName(int aIndex)
  {
    return instance_id{ "entry-" + std::to_string(aIndex) };
  }

  void Send(traffic_core& aCore)
  {
    server_choice_request const request{ .mNow = mNow,
                                         .mPromptKey = mRandom(),
                                         .mModel = kModel };
    tracked_server const* const chosen =
      ChooseServer(aCore.Servers().Pool(kPool), request);
    if (chosen == nullptr) {
      ++mRefused;
      return;
    }
    std::shared_ptr<tracked_server> server =
      aCore.Servers().Find(chosen->mRegistered.mId);
    server->OnStart(kTokens);
    mArrivals[server->mRegistered.mId].push_back(mNow);
    mPending.push_back({ mNow + kRunTime, &aCore, std::move(server) });
  }

  void Answer()
  {
    while (!mPending.empty() && mPending.front().mAt <= mNow) {
      pending_answer const answered = mPending.front();
      mPending.pop_front();
      answered.mServer->OnEnd(kTokens);
      backend_server_id const& id = answered.mServer->mRegistered.mId;
      double const limit = mLimits[id];
      answered.mCore->OnAnswer(
        mNow,
        *answered.mServer,
        kModel,
        { .mRequestsPerSecond =
            limit > 0 ? std::optional{ limit } : std::nullopt,
          .mHasServerStamp = true });
    }
  }

  instant mNow{ seconds{ 100 } };
  std::mt19937_64 mRandom{ 7 };
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  std::deque<gateway_options> mOptions;
  std::vector<std::unique_ptr<traffic_core>> mCores;
  std::map<backend_server_id, double> mLimits;
  std::map<backend_server_id, std::vector<instant>> mArrivals;
  std::deque<pending_answer> mPending;
  std::size_t mRefused = 0;
};

// Guards against a server that gets more requests from all instances together
// than the limit that it names: at most half as many again and five more in
// four seconds.
TEST(TestLimitedServers, AllInstancesTogetherKeepToTheLimitThatAServerNames)
{
  constexpr int kServers = 12;
  constexpr int kLimited = 8;
  constexpr double kLimit = 2.5;
  constexpr double kArrivalsPerInstance = 10;
  for (int const instances : { 1, 7, 30 }) {
    limited_pool pool{ instances, kServers };
    double const arrivals = kArrivalsPerInstance * 7 / instances;
    pool.Run(seconds{ 3 }, arrivals);
    for (int index = 0; index < kLimited; ++index)
      pool.Limit(index, kLimit);
    pool.Run(seconds{ 3 }, arrivals);
    instant const since = pool.Now();
    pool.Run(seconds{ 20 }, arrivals);
    for (int index = 0; index < kLimited; ++index)
      EXPECT_LE(pool.MostArrivals(index, seconds{ 4 }, since),
                1.5 * kLimit * 4 + 5)
        << instances << " instances, server " << index;
    EXPECT_EQ(pool.Refused(), 0U);
  }
}

}
}
