#include <LibDispatch/CrashTracker.h>
#include <LibDispatch/PrefixIndex.h>
#include <LibDispatch/ServerTable.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };

TEST(TestCrashTracker, ThreeCrashesMakeARequestPoison)
{
  crash_tracker tracker;
  tracker.OnCrash(kNow, 1, 2);
  EXPECT_FALSE(tracker.IsPoison(kNow, 1));
  tracker.OnCrash(kNow, 1);
  EXPECT_TRUE(tracker.IsPoison(kNow, 1));
  EXPECT_FALSE(tracker.IsPoison(kNow, 2));
  EXPECT_FALSE(tracker.IsPoison(kNow + minutes{ 3 }, 1));
}

TEST(TestCrashTracker, AnswerClearsCrashCount)
{
  crash_tracker tracker;
  tracker.OnCrash(kNow, 1, 3);
  tracker.OnAnswer(1);
  EXPECT_FALSE(tracker.IsPoison(kNow, 1));
}

TEST(TestPrefixIndex, HoldersAndStoredPartsExpire)
{
  prefix_index index;
  backend_server_id const server{ "s" };
  index.OnServed(kNow, { .mKey = 7, .mServer = server, .mIsStored = true });
  EXPECT_EQ(index.Holder(kNow, 7), server);
  EXPECT_TRUE(index.IsStored(kNow + seconds{ 5 }, 7));
  EXPECT_FALSE(index.Holder(kNow + seconds{ 5 }, 7));
  index.Prune(kNow + seconds{ 5 });
  EXPECT_TRUE(index.IsStored(kNow + seconds{ 5 }, 7));
  EXPECT_FALSE(index.IsStored(kNow + minutes{ 1 }, 7));
}

fleet_view
ViewOf(std::uint64_t aIncarnation, std::uint64_t aVersion)
{
  return { .mServers = { { .mId = backend_server_id{ "s" },
                           .mIncarnation = incarnation{ aIncarnation },
                           .mPool = pool_name{ "p" },
                           .mModels = { { .mModel = model_name{ "m" },
                                          .mVersion = aVersion } } } } };
}

TEST(TestServerTable, NewIncarnationStartsWithoutState)
{
  server_table table;
  table.Apply(ViewOf(1, 3));
  table.Pool(pool_name{ "p" })[0]->mInFlight = 4;
  table.Apply(ViewOf(1, 3));
  EXPECT_EQ(table.Pool(pool_name{ "p" })[0]->mInFlight, 4U);
  table.Apply(ViewOf(2, 3));
  EXPECT_EQ(table.Pool(pool_name{ "p" })[0]->mInFlight, 0U);
}

TEST(TestServerTable, VersionsNeverDecreaseWithinAnIncarnation)
{
  server_table table;
  table.Apply(ViewOf(1, 3));
  table.Apply(ViewOf(1, 2));
  model_name const model{ "m" };
  EXPECT_EQ(table.Pool(pool_name{ "p" })[0]->mRegistered.VersionOf(model), 3U);
  table.Apply(ViewOf(2, 2));
  EXPECT_EQ(table.Pool(pool_name{ "p" })[0]->mRegistered.VersionOf(model), 2U);
}

}

}
