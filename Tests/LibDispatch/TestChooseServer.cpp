#include <LibDispatch/ChooseServer.h>

#include <gtest/gtest.h>

#include <map>
#include <memory>

namespace lycheeseam {

namespace {

using std::chrono::seconds;

model_name const kModel{ "m" };
instant const kNow = instant{} + seconds{ 100 };

/// A pool of engines that all have the same model.
class engine_pool
{
public:
  explicit engine_pool(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      std::unique_ptr<tracked_server> server =
        std::make_unique<tracked_server>();
      server->mRegistered.mId = backend_server_id{ std::to_string(index) };
      server->mRegistered.mSlots = 10;
      server->mRegistered.mModels = { { .mModel = kModel, .mVersion = 1 } };
      server->mSeed = (index + 1) * 0x9e3779b97f4a7c15ULL;
      mPointers.push_back(server.get());
      mServers.push_back(std::move(server));
    }
  }

  tracked_server& operator[](std::size_t aIndex) { return *mServers[aIndex]; }
  [[nodiscard]] std::span<tracked_server* const> All() const
  {
    return mPointers;
  }

private:
  std::vector<std::unique_ptr<tracked_server>> mServers;
  std::vector<tracked_server*> mPointers;
};

server_choice_request
Request(std::uint64_t aPromptKey)
{
  return { .mNow = kNow, .mPromptKey = aPromptKey, .mModel = kModel };
}

TEST(TestChooseServer, RoutesEqualPromptsToOneServerAndUsesAllServers)
{
  engine_pool pool{ 6 };
  std::map<tracked_server*, int> uses;
  for (std::uint64_t key = 1; key <= 600; ++key) {
    tracked_server* const first = ChooseServer(pool.All(), Request(key * 977));
    EXPECT_EQ(ChooseServer(pool.All(), Request(key * 977)), first);
    ++uses[first];
  }
  EXPECT_EQ(uses.size(), 6U);
  for (auto const& [server, count] : uses)
    EXPECT_GT(count, 50);
}

TEST(TestChooseServer, PausedServerGetsRequestsAfterItsPause)
{
  engine_pool pool{ 2 };
  pool[0].mPausedUntil = kNow + seconds{ 2 };
  pool[1].mPausedUntil = kNow + seconds{ 1 };
  server_choice_request request = Request(5);
  EXPECT_EQ(ChooseServer(pool.All(), request), nullptr);
  EXPECT_EQ(FirstSendAt(pool.All(), request), kNow + seconds{ 1 });
  pool[1].mIsUpdating = true;
  EXPECT_EQ(FirstSendAt(pool.All(), request), kNow + seconds{ 2 });
  request.mNow = kNow + seconds{ 2 };
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[0]);
  EXPECT_EQ(FirstSendAt(pool.All(), request), std::nullopt);
}

TEST(TestChooseServer, RoutesPromptToAnotherServerAboveLoadBound)
{
  engine_pool pool{ 4 };
  tracked_server* const first = ChooseServer(pool.All(), Request(5));
  first->mInFlight = 9;
  EXPECT_NE(ChooseServer(pool.All(), Request(5)), first);
}

TEST(TestChooseServer, CountsTokensAsLoad)
{
  engine_pool pool{ 2 };
  tracked_server* const first = ChooseServer(pool.All(), Request(5));
  first->mMemoryTokens = 1'000;
  first->OnStart(kNow, 900);
  EXPECT_NE(ChooseServer(pool.All(), Request(5)), first);
  first->OnEnd(900);
  EXPECT_EQ(ChooseServer(pool.All(), Request(5)), first);
}

// Guards against overloaded engines beside engines with a rate limit, which
// counts requests of any size.
TEST(TestChooseServer, LargeRequestsPreferServersWithARateLimit)
{
  engine_pool pool{ 6 };
  for (std::size_t index = 0; index < 6; ++index)
    pool[index].mAverageTokens = 3'000;
  for (std::size_t index = 0; index < 3; ++index)
    pool[index].mLimit.Apply(kNow, 100, kNow - seconds{ 1 });
  server_choice_request request = Request(5);
  request.mNow = kNow + seconds{ 1 };
  for (std::uint64_t key = 1; key <= 60; ++key) {
    request.mPromptKey = key * 977;
    request.mTokens = 9'000;
    tracked_server* const large = ChooseServer(pool.All(), request);
    EXPECT_TRUE(large->mLimit.RequestsPerSecond());
    request.mTokens = 900;
    tracked_server* const small = ChooseServer(pool.All(), request);
    EXPECT_FALSE(small->mLimit.RequestsPerSecond());
  }
  // Overloaded servers leave requests of any size to the others.
  for (std::size_t index = 3; index < 6; ++index)
    pool[index].mInFlight = 25;
  EXPECT_TRUE(ChooseServer(pool.All(), request)->mLimit.RequestsPerSecond());
}

TEST(TestChooseServer, PrefersNewestWeightsUntilTheirServersAreBusy)
{
  engine_pool pool{ 4 };
  pool[2].mRegistered.mModels[0].mVersion = 2;
  EXPECT_EQ(ChooseServer(pool.All(), Request(1)), &pool[2]);
  pool[2].mInFlight = 8;
  EXPECT_NE(ChooseServer(pool.All(), Request(1)), &pool[2]);
}

// Guards against an overload of the first servers with new weights. On scale-2
// of the large site 95 instances, none of which saw more than a few requests on
// any server, sent all prompts to the few engines that a slow update had
// reached.
TEST(TestChooseServer, FewServersWithNewestWeightsGetTwiceTheirPart)
{
  engine_pool pool{ 20 };
  pool[3].mRegistered.mModels[0].mVersion = 2;
  pool[7].mRegistered.mModels[0].mVersion = 2;
  int onNewest = 0;
  constexpr int kRequests = 1'000;
  for (int index = 0; index < kRequests; ++index) {
    server_choice_request request = Request(1 + index % 50);
    request.mSample = index / static_cast<double>(kRequests);
    tracked_server const* const chosen = ChooseServer(pool.All(), request);
    onNewest += chosen == &pool[3] || chosen == &pool[7] ? 1 : 0;
  }
  EXPECT_EQ(onNewest, kRequests / 5);
}

TEST(TestChooseServer, HalfOfTheServersWithNewestWeightsGetAllRequests)
{
  engine_pool pool{ 2 };
  pool[1].mRegistered.mModels[0].mVersion = 2;
  server_choice_request request = Request(1);
  request.mSample = 0.99;
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[1]);
}

// Guards against requests on outdated weights. On scale-1 a restarted server
// whose weights had been replaced long before got requests at once.
TEST(TestChooseServer, ExcludesServersWithOutdatedWeights)
{
  engine_pool pool{ 1 };
  target_weights const weights{
    .mModel = kModel,
    .mVersions = { { .mVersion = 1, .mLearnedAt = kNow - seconds{ 60 } },
                   { .mVersion = 2, .mLearnedAt = kNow - seconds{ 7 } } }
  };
  server_choice_request request = Request(1);
  request.mWeights = &weights;
  request.mOutdatedAfter = seconds{ 6 };
  EXPECT_EQ(ChooseServer(pool.All(), request), nullptr);
  request.mOutdatedAfter = seconds{ 8 };
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[0]);
  pool[0].mRegistered.mModels[0].mVersion = 2;
  request.mOutdatedAfter = seconds{ 6 };
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[0]);
}

TEST(TestChooseServer, ExcludesUpdatingLeavingUnreachableAndTriedServers)
{
  engine_pool pool{ 4 };
  pool[0].mIsUpdating = true;
  pool[1].mRegistered.mStage = server_stage::Leaving;
  pool[2].mBreaker.OnUnreachable(kNow);
  server_choice_request request = Request(1);
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[3]);
  request.mTried = { pool[3].mRegistered.mId };
  EXPECT_EQ(ChooseServer(pool.All(), request), nullptr);
}

TEST(TestChooseServer, ProbesUnreachableServerWithOneRequestAtATime)
{
  engine_pool pool{ 1 };
  pool[0].mBreaker.OnUnreachable(kNow - seconds{ 1 });
  EXPECT_EQ(ChooseServer(pool.All(), Request(1)), &pool[0]);
  pool[0].mInFlight = 1;
  EXPECT_EQ(ChooseServer(pool.All(), Request(1)), nullptr);
}

TEST(TestChooseServer, RoutesPlainRequestsToLeastLoadedServerInOwnDomain)
{
  engine_pool pool{ 3 };
  pool[0].mInFlight = 1;
  pool[2].mRegistered.mDomain = failure_domain{ "here" };
  server_choice_request const request{ .mNow = kNow,
                                       .mDomain = failure_domain{ "here" } };
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[2]);
  pool[2].mInFlight = 2;
  EXPECT_EQ(ChooseServer(pool.All(), request), &pool[1]);
}

TEST(TestChooseServer, ChoosesCacheSourceWithTheSameWeights)
{
  engine_pool pool{ 3 };
  tracked_server* const first = ChooseServer(pool.All(), Request(3));
  tracked_server* const source =
    ChooseCacheSource(pool.All(), Request(3), *first);
  ASSERT_NE(source, nullptr);
  EXPECT_NE(source, first);
  source->mRegistered.mModels[0].mVersion = 2;
  EXPECT_NE(ChooseCacheSource(pool.All(), Request(3), *first), source);
}

}

}
