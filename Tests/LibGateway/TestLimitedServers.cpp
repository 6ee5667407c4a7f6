#include "GatewayFixture.h"
#include <LibDispatch/ChooseServer.h>
#include <LibGateway/TrafficCore.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
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
    server->OnStart(mNow, kTokens);
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

std::string
LimitedAnswer(std::string const& aBody, std::string const& aLimit)
{
  return Answer(aBody, "Server-Limit: " + aLimit + "\r\n");
}

// A request that no server takes in time is refused at once, and its caller
// learns when to come back.
TEST_F(TestGateway, RequestIsRefusedAtOnceWhileAllServersAreAtTheirLimit)
{
  scripted_server server{ { LimitedAnswer("first", "0.5"), Answer("early") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nfirst"));
  std::chrono::steady_clock::time_point const start =
    std::chrono::steady_clock::now();
  std::string const answer = Exchange(Request("/once/x"));
  EXPECT_LT(std::chrono::steady_clock::now() - start, milliseconds{ 500 });
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503"));
  std::size_t const field = answer.find("Retry-After: ");
  ASSERT_NE(field, std::string::npos);
  double const seconds = std::stod(answer.substr(field + 13));
  EXPECT_GT(seconds, 1.5);
  EXPECT_LT(seconds, 2.5);
  EXPECT_EQ(server.Requests().size(), 1U);
}

TEST_F(TestGateway, LimitedServerGetsRequestsAtItsRateUntilItNamesNone)
{
  scripted_server server{
    { LimitedAnswer("1", "5"), Answer("2"), Answer("3"), Answer("4") }
  };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\n1"));
  EXPECT_TRUE(Exchange(Request("/safe/x")).starts_with("HTTP/1.1 503"));
  std::this_thread::sleep_for(milliseconds{ 300 });
  for (char const* const body : { "2", "3", "4" })
    EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with(body));
}

// A restart begins a new incarnation, which has named no limit.
TEST_F(TestGateway, RestartedServerHasNoLimit)
{
  scripted_server server{ { LimitedAnswer("first", "0.1"), Answer("back") } };
  StartGateway(std::array{ &server });
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nfirst"));
  fleet_view view = *mView.Current();
  view.mServers[0].mIncarnation = incarnation{ 2 };
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with("\r\n\r\nback"));
}

// Other instances learn of a limit from their peers, so that each knows it
// before it has got an answer of the server.
TEST_F(TestGateway, LimitThatAnotherInstanceObservedCounts)
{
  scripted_server limited{ { Answer("over") } };
  scripted_server other{ { Answer("a"), Answer("b"), Answer("c") } };
  StartGateway(std::array{ &limited, &other });
  fleet_view view = *mView.Current();
  view.mLimits = { { .mServer = { .mServer = backend_server_id{ "s0" } },
                     .mRequestsPerSecond = 0.1,
                     .mObservedAt = system_clock{}.Now() } };
  mView.Publish(std::make_shared<fleet_view const>(std::move(view)));
  for (char const* const body : { "a", "b", "c" })
    EXPECT_TRUE(Exchange(Request("/safe/x")).ends_with(body));
  EXPECT_TRUE(limited.Requests().empty());
}

}
}
