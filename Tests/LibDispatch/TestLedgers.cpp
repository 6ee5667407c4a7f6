#include <LibDispatch/CrashTracker.h>
#include <LibDispatch/PrefixIndex.h>
#include <LibDispatch/ServerTable.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };

TEST(TestLedgers, ThreeLostServersMakeARequestPoison)
{
  crash_tracker tracker;
  tracker.OnCrash(kNow, 1, 2);
  EXPECT_FALSE(tracker.IsPoison(kNow, 1));
  tracker.OnCrash(kNow, 1);
  EXPECT_TRUE(tracker.IsPoison(kNow, 1));
  EXPECT_FALSE(tracker.IsPoison(kNow, 2));
  EXPECT_FALSE(tracker.IsPoison(kNow + minutes{ 3 }, 1));
}

TEST(TestLedgers, AnAnswerClearsARequest)
{
  crash_tracker tracker;
  tracker.OnCrash(kNow, 1, 3);
  tracker.OnAnswer(1);
  EXPECT_FALSE(tracker.IsPoison(kNow, 1));
}

TEST(TestLedgers, HoldersAreTrustedForAShortWhile)
{
  prefix_index memory;
  backend_server_id const server{ "s" };
  memory.OnServed(kNow, { .mKey = 7, .mServer = server, .mIsStored = true });
  EXPECT_EQ(memory.Holder(kNow, 7), server);
  EXPECT_TRUE(memory.IsSaved(kNow + seconds{ 5 }, 7));
  EXPECT_FALSE(memory.Holder(kNow + seconds{ 5 }, 7));
  memory.Prune(kNow + seconds{ 5 });
  EXPECT_TRUE(memory.IsSaved(kNow + seconds{ 5 }, 7));
  EXPECT_FALSE(memory.IsSaved(kNow + minutes{ 1 }, 7));
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

TEST(TestLedgers, ANewLifeStartsWithNothingKnown)
{
  server_table table;
  table.Apply(ViewOf(1, 3));
  table.Pool(pool_name{ "p" })[0]->mInFlight = 4;
  table.Apply(ViewOf(1, 3));
  EXPECT_EQ(table.Pool(pool_name{ "p" })[0]->mInFlight, 4U);
  table.Apply(ViewOf(2, 3));
  EXPECT_EQ(table.Pool(pool_name{ "p" })[0]->mInFlight, 0U);
}

TEST(TestLedgers, VersionsNeverGoBackWithinALife)
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
