#include <LibFleet/ServerRegistry.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
backend_server_id const kServer{ "s" };
model_name const kModel{ "m" };
constexpr store_era kEra{ 0 };
constexpr store_era kRestoredEra{ 1 };

registered_server
Entry(std::uint64_t aIncarnation, std::uint64_t aVersion = 1)
{
  return { .mId = kServer,
           .mIncarnation = incarnation{ aIncarnation },
           .mModels = { { .mModel = kModel, .mVersion = aVersion } } };
}

TEST(TestServerRegistry, DroppedEntryIsRemovedAtOnce)
{
  server_registry known;
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  known.OnDropped(kNow, kServer);
  EXPECT_TRUE(known.Servers().empty());
}

TEST(TestServerRegistry, EntryDroppedAfterAStoreOutageGetsAGracePeriod)
{
  server_registry known;
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  known.OnStoreAnswer(kNow + seconds{ 4 });
  known.OnDropped(kNow + seconds{ 4 }, kServer);
  EXPECT_EQ(known.Servers().size(), 1U);
  EXPECT_FALSE(known.Expire(kNow + seconds{ 5 }));
  known.OnEntry(Entry(1), kEra);
  EXPECT_FALSE(known.Expire(kNow + seconds{ 9 }));
  EXPECT_EQ(known.Servers().size(), 1U);
}

TEST(TestServerRegistry, EntryIsRemovedAfterTheGracePeriod)
{
  server_registry known;
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  known.OnStoreAnswer(kNow + seconds{ 4 });
  known.OnDropped(kNow + seconds{ 4 }, kServer);
  EXPECT_TRUE(known.Expire(kNow + seconds{ 4 } + milliseconds{ 2'300 }));
  EXPECT_TRUE(known.Servers().empty());
}

// Guards against requests to a server whose entry was dropped while this
// instance was paused or got no processor: it took its own pause for an outage.
TEST(TestServerRegistry, OwnPauseIsNoOutageOfTheStore)
{
  server_registry known;
  known.OnRunning(kNow);
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  known.OnStoreAnswer(kNow + seconds{ 4 });
  EXPECT_EQ(known.OnDropped(kNow + seconds{ 4 }, kServer), duration{});
  EXPECT_TRUE(known.Servers().empty());
}

// The same when a tick comes before the first answer after the pause.
TEST(TestServerRegistry, TickAfterAnOwnPauseShowsNoOutage)
{
  server_registry known;
  known.OnRunning(kNow);
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  known.OnRunning(kNow + seconds{ 4 });
  known.OnStoreAnswer(kNow + seconds{ 4 } + milliseconds{ 20 });
  EXPECT_EQ(known.OnDropped(kNow + seconds{ 5 }, kServer), duration{});
}

TEST(TestServerRegistry, OutageThatARunningInstanceSeesCounts)
{
  server_registry known;
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  instant now = kNow;
  for (; now < kNow + seconds{ 4 }; now += milliseconds{ 50 })
    known.OnRunning(now);
  known.OnStoreAnswer(now);
  EXPECT_GT(known.OnDropped(now, kServer), duration{});
}

// Guards against requests to a server whose entry was dropped, by an instance
// that the store refuses while its peers are answered.
TEST(TestServerRegistry, DropThatAPeerReadIsFinalWhileOwnReadsFail)
{
  server_registry known;
  known.OnStoreAnswer(kNow);
  known.OnEntry(Entry(1), kEra);
  known.OnStoreAnswer(kNow + milliseconds{ 500 });
  known.OnDropped(kNow + milliseconds{ 500 }, kServer);
  EXPECT_TRUE(known.Servers().empty());
}

// Guards against a server that is ignored for good: it restarted under its id
// after its clock had jumped back.
TEST(TestServerRegistry, RestartWithALowerNumberIsTakenOver)
{
  server_registry known;
  known.OnEntry(Entry(2, 9), kEra);
  EXPECT_TRUE(known.OnEntry(Entry(1, 1), kEra));
  EXPECT_EQ(known.Servers()[0].mIncarnation, incarnation{ 1 });
  EXPECT_EQ(known.Servers()[0].VersionOf(kModel), 1U);
}

TEST(TestServerRegistry, RemovedServerMayRestartWithALowerNumber)
{
  server_registry known;
  known.OnEntry(Entry(2), kEra);
  known.OnDropped(kNow, kServer);
  EXPECT_TRUE(known.OnEntry(Entry(1), kEra));
}

TEST(TestServerRegistry, EntryOfAnEarlierIncarnationInARestoredStoreIsIgnored)
{
  server_registry known;
  known.OnEntry(Entry(2, 1), kEra);
  EXPECT_FALSE(known.OnEntry(Entry(1, 9), kRestoredEra));
  EXPECT_EQ(known.Servers()[0].mIncarnation, incarnation{ 2 });
  EXPECT_EQ(known.Servers()[0].VersionOf(kModel), 1U);
  // Written after the restore, so that its server runs.
  EXPECT_TRUE(known.OnEntry(Entry(1, 9), kRestoredEra));
  EXPECT_EQ(known.Servers()[0].mIncarnation, incarnation{ 1 });
}

TEST(TestServerRegistry, RemovedServerIsNotBroughtBackByAnEarlierIncarnation)
{
  server_registry known;
  known.OnEntry(Entry(2), kEra);
  known.OnDropped(kNow, kServer);
  EXPECT_FALSE(known.OnEntry(Entry(1), kRestoredEra));
  EXPECT_TRUE(known.Servers().empty());
  EXPECT_TRUE(known.OnEntry(Entry(1), kRestoredEra));
}

TEST(TestServerRegistry, ObservedWeightsCountForTheirIncarnation)
{
  server_registry known;
  known.OnEntry(Entry(2, 1), kEra);
  EXPECT_FALSE(known.OnObservedWeights(kServer, incarnation{ 1 }, kModel, 5));
  EXPECT_TRUE(known.OnObservedWeights(kServer, incarnation{ 2 }, kModel, 5));
  EXPECT_FALSE(known.OnObservedWeights(kServer, incarnation{ 2 }, kModel, 4));
  // A heartbeat that was sent before still contains the older version.
  known.OnEntry(Entry(2, 1), kEra);
  EXPECT_EQ(known.Servers()[0].VersionOf(kModel), 5U);
}

// Entries of crashed servers stayed registered; found on scale-2.
TEST(TestServerRegistry, ServerWhoseAddressIsTakenIsRemovedUntilItsNextEntry)
{
  server_registry known;
  known.OnEntry(Entry(2), kEra);
  EXPECT_FALSE(known.OnAddressTaken(kNow, { kServer, incarnation{ 1 } }));
  EXPECT_TRUE(known.OnAddressTaken(kNow, { kServer, incarnation{ 2 } }));
  EXPECT_TRUE(known.Servers().empty());
  known.OnEntry(Entry(3), kEra);
  EXPECT_EQ(known.Servers().size(), 1U);
}

registered_server
EntryWithCount(std::uint64_t aCount, server_stage aStage)
{
  registered_server server = Entry(1);
  server.mStage = aStage;
  server.mEntries = aCount;
  return server;
}

TEST(TestServerRegistry, EarlierEntryDoesNotMakeALeavingServerReady)
{
  server_registry known;
  known.OnEntry(EntryWithCount(5, server_stage::Leaving), kEra);
  EXPECT_FALSE(known.OnEntry(EntryWithCount(4, server_stage::Ready), kEra));
  EXPECT_EQ(known.Servers()[0].mStage, server_stage::Leaving);
}

// Only a store that was restored shows an entry again that it had dropped.
TEST(TestServerRegistry, DroppedServerMayRegisterAgainWithAnUnchangedEntry)
{
  server_registry known;
  known.OnEntry(EntryWithCount(5, server_stage::Ready), kEra);
  known.OnDropped(kNow, kServer);
  EXPECT_TRUE(known.OnEntry(EntryWithCount(5, server_stage::Ready), kEra));
  known.OnDropped(kNow, kServer);
  known.OnStoreRestored(kNow + seconds{ 1 });
  EXPECT_FALSE(known.OnEntry(EntryWithCount(5, server_stage::Ready), kEra));
  EXPECT_FALSE(known.Expire(kNow + seconds{ 130 }));
  EXPECT_TRUE(known.OnEntry(EntryWithCount(5, server_stage::Ready), kEra));
}

}

}
