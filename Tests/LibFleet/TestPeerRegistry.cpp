#include <LibFleet/PeerRegistry.h>
#include <LibFleet/ReaderElection.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
workspace_id const kWorkspace{ "w" };
constexpr seconds kWindow{ 8 };

peer_hello
Hello(char const* aName, std::uint64_t aIncarnation = 1)
{
  return { .mIdentity = { .mInstance = instance_id{ aName },
                          .mIncarnation = incarnation{ aIncarnation } } };
}

fleet_report
UsageReport(double aUnits)
{
  return { .mSpent = { { kWorkspace, aUnits } } };
}

fleet_roster
Roster(std::initializer_list<roster_entry> aEntries)
{
  return { .mEntries = aEntries };
}

double
TotalUsage(peer_registry const& aRegistry)
{
  double sum = 0;
  for (workspace_usage const& usage : aRegistry.Usage().Total())
    sum += usage.mUnits;
  return sum;
}

// Guards against refusing callers because all links were reset at once: the
// limits then shrink to this instance's own share.
TEST(TestPeerRegistry, PeerIsResponsiveForAWhileAfterItsLinkClosed)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, Hello("a").mIdentity, UsageReport(0));
  registry.OnDown(kNow + milliseconds{ 100 }, Hello("a").mIdentity);
  EXPECT_EQ(registry.Unresponsive(kNow + milliseconds{ 800 }), 0U);
  EXPECT_EQ(registry.Unresponsive(kNow + peer_link::kUnresponsiveAfter +
                                  milliseconds{ 1 }),
            1U);
}

TEST(TestPeerRegistry, ReadyPeersAreEntriesUntilTheyLeave)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a"));
  EXPECT_TRUE(registry.Entries().empty());
  registry.OnRoster(kNow,
                    Hello("a").mIdentity,
                    Roster({ { .mHello = Hello("a"), .mIsReady = true } }));
  EXPECT_EQ(registry.Entries().size(), 1U);
  registry.OnRoster(
    kNow,
    Hello("a").mIdentity,
    Roster({ { .mHello = Hello("a"), .mIsReady = true, .mIsLeaving = true } }));
  EXPECT_TRUE(registry.Entries().empty());
}

TEST(TestPeerRegistry, UnresponsivePeersKeepTheirShareUntilTheyArePruned)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, Hello("a").mIdentity, UsageReport(0));
  EXPECT_EQ(registry.Unresponsive(kNow), 0U);
  EXPECT_EQ(registry.Unresponsive(kNow + seconds{ 1 }), 1U);
  registry.OnDown(kNow + seconds{ 1 }, Hello("a").mIdentity);
  registry.Prune(kNow + seconds{ 20 });
  EXPECT_EQ(registry.Known().Count(), 1U);
  registry.Prune(kNow + seconds{ 40 });
  EXPECT_EQ(registry.Known().Count(), 0U);
}

TEST(TestPeerRegistry, UsageAddsUpOverIncarnations)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a", 1));
  registry.OnReport(kNow, Hello("a", 1).mIdentity, UsageReport(0));
  registry.OnReport(
    kNow + milliseconds{ 200 }, Hello("a", 1).mIdentity, UsageReport(15));
  EXPECT_EQ(TotalUsage(registry), 15);
  registry.OnUp(kNow + milliseconds{ 300 }, Hello("a", 2));
  registry.OnReport(
    kNow + milliseconds{ 400 }, Hello("a", 2).mIdentity, UsageReport(0));
  registry.OnReport(
    kNow + milliseconds{ 600 }, Hello("a", 2).mIdentity, UsageReport(5));
  EXPECT_EQ(TotalUsage(registry), 20);
}

// A new instance counted all that the others had ever admitted as admitted just
// now, and refused requests for a whole quota window.
TEST(TestPeerRegistry, UsageBeforeTheFirstReportIsNotCounted)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, Hello("a").mIdentity, UsageReport(1'000'000));
  EXPECT_EQ(TotalUsage(registry), 0);
  registry.OnReport(
    kNow + milliseconds{ 200 }, Hello("a").mIdentity, UsageReport(1'000'007));
  EXPECT_EQ(TotalUsage(registry), 7);
}

TEST(TestPeerRegistry, UsageOfAnUnresponsivePeerIsNotCounted)
{
  // A window without length holds nothing of what was admitted meanwhile.
  peer_registry registry{ instance_id{ "m" }, duration{} };
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, Hello("a").mIdentity, UsageReport(0));
  registry.OnReport(
    kNow + milliseconds{ 200 }, Hello("a").mIdentity, UsageReport(10));
  registry.OnReport(kNow + seconds{ 5 }, Hello("a").mIdentity, UsageReport(90));
  EXPECT_EQ(TotalUsage(registry), 10);
  registry.OnReport(kNow + seconds{ 5 } + milliseconds{ 100 },
                    Hello("a").mIdentity,
                    UsageReport(95));
  EXPECT_EQ(TotalUsage(registry), 15);
}

// A peer reports 100 units, is cut off a second later, and reports 180 units
// aGap after the first report, as aAfter.
void
ReportOverACut(peer_registry& aRegistry,
               duration aGap,
               peer_hello const& aAfter)
{
  peer_hello const before = Hello("a");
  aRegistry.OnUp(kNow, before);
  aRegistry.OnReport(kNow, before.mIdentity, UsageReport(100));
  aRegistry.OnDown(kNow + seconds{ 1 }, before.mIdentity);
  aRegistry.OnUp(kNow + aGap, aAfter);
  aRegistry.OnReport(kNow + aGap, aAfter.mIdentity, UsageReport(180));
}

// Guards against a limit that is exceeded after a cut has healed: the share of
// the other side is no longer set aside, while what it admitted during the cut
// still lies in the window.
TEST(TestPeerRegistry, UsageDuringACutIsCountedWhenItHasHealed)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  ReportOverACut(registry, seconds{ 6 }, Hello("a"));
  EXPECT_EQ(TotalUsage(registry), 80);
  registry.OnReport(kNow + seconds{ 6 } + milliseconds{ 200 },
                    Hello("a").mIdentity,
                    UsageReport(185));
  EXPECT_EQ(TotalUsage(registry), 85);
}

TEST(TestPeerRegistry, UsageDuringASilenceIsCountedAfterIt)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  instance_identity const peer = Hello("a").mIdentity;
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, peer, UsageReport(100));
  registry.OnReport(kNow + seconds{ 5 }, peer, UsageReport(180));
  EXPECT_EQ(TotalUsage(registry), 80);
}

TEST(TestPeerRegistry, UsageDuringALongCutCountsAsFarAsItMayLieInTheWindow)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  ReportOverACut(registry, seconds{ 16 }, Hello("a"));
  EXPECT_EQ(TotalUsage(registry), 40);
}

TEST(TestPeerRegistry, UsageOfARestartedPeerBeginsAnew)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  ReportOverACut(registry, seconds{ 6 }, Hello("a", 2));
  EXPECT_EQ(TotalUsage(registry), 0);
}

// The sums of a parent or a child cover other instances over another link.
TEST(TestPeerRegistry, UsageOfABranchOverACutIsNotCounted)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  instance_identity const peer = Hello("a").mIdentity;
  fleet_report report = UsageReport(100);
  report.mScope = report_scope::Branch;
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, peer, report);
  registry.OnDown(kNow + seconds{ 1 }, peer);
  registry.OnUp(kNow + seconds{ 6 }, Hello("a"));
  report.mSpent.front().mUnits = 180;
  registry.OnReport(kNow + seconds{ 6 }, peer, report);
  EXPECT_EQ(TotalUsage(registry), 0);
}

TEST(TestPeerRegistry, NewestLeaseDecidesWhichServersAreUpdating)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  for (char const* const name : { "a", "b" })
    registry.OnUp(kNow, Hello(name));
  registry.OnReport(
    kNow,
    Hello("a").mIdentity,
    { .mLease = 3, .mUpdating = { backend_server_id{ "old" } } });
  registry.OnReport(
    kNow,
    Hello("b").mIdentity,
    { .mLease = 4, .mUpdating = { backend_server_id{ "new" } } });
  EXPECT_EQ(registry.NewestLease(kNow), 4U);
  EXPECT_TRUE(registry.Updating(kNow).contains(backend_server_id{ "new" }));
  EXPECT_FALSE(registry.Updating(kNow).contains(backend_server_id{ "old" }));
  EXPECT_TRUE(registry.Updating(kNow + seconds{ 2 }).empty());
}

// Guards against an instance that takes the absence of new records for an
// outage of the store, and keeps servers whose entries are dropped then.
TEST(TestPeerRegistry, ReadsOfAnyLivePeerShowThatTheStoreAnswers)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("z"));
  EXPECT_FALSE(registry.IsAnyReading(kNow));
  registry.OnReport(
    kNow, Hello("z").mIdentity, { .mReader = instance_id{ "z" } });
  EXPECT_TRUE(registry.IsAnyReading(kNow));
  EXPECT_FALSE(registry.IsAnyReading(kNow + seconds{ 2 }));
}

TEST(TestPeerRegistry, FirstInstanceByIdReadsForAll)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  for (char const* const name : { "a", "z" })
    registry.OnUp(kNow, Hello(name));
  registry.OnReport(
    kNow, Hello("z").mIdentity, { .mReader = instance_id{ "z" } });
  EXPECT_FALSE(registry.HasReader(kNow));
  EXPECT_EQ(registry.Rank(kNow), 0U);
  registry.OnReport(
    kNow, Hello("a").mIdentity, { .mReader = instance_id{ "a" } });
  EXPECT_TRUE(registry.HasReader(kNow));
  EXPECT_EQ(registry.Rank(kNow), 1U);
  EXPECT_FALSE(registry.HasReader(kNow + seconds{ 2 }));
}

TEST(TestPeerRegistry, InstancesInTheRosterOfALinkAreResponsive)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnRegistered(kNow, Hello("b"));
  registry.OnRegistered(kNow, Hello("gone"));
  registry.OnUp(kNow, Hello("a"));
  EXPECT_EQ(registry.Unresponsive(kNow), 3U);
  registry.OnRoster(kNow,
                    Hello("a").mIdentity,
                    Roster({ { .mHello = Hello("a") },
                             { .mHello = Hello("b") },
                             { .mHello = Hello("m") } }));
  registry.OnReport(
    kNow, Hello("a").mIdentity, { .mScope = report_scope::Rest });
  EXPECT_EQ(registry.Known().Count(), 3U);
  EXPECT_EQ(registry.Unresponsive(kNow), 1U);
  EXPECT_EQ(registry.Rank(kNow), 2U);
  EXPECT_EQ(registry.Unresponsive(kNow + seconds{ 2 }), 3U);
}

// Guards against an instance that is looked for at the address that it had
// before it restarted with a clock that had jumped back.
TEST(TestPeerRegistry, LaterRecordOfAnInstanceReplacesTheOneBefore)
{
  for (std::uint64_t const later : { 4, 6 }) {
    peer_registry registry{ instance_id{ "m" }, kWindow };
    registry.OnRegistered(kNow, Hello("a", 5));
    registry.OnUnreachable(kNow, instance_id{ "a" });
    registry.OnRegistered(kNow, Hello("a", later));
    ASSERT_EQ(registry.Known().Reachable().size(), 1U);
    EXPECT_EQ(registry.Known().Reachable()[0], Hello("a", later));
  }
}

TEST(TestPeerRegistry, RecordOfTheStoreDoesNotReplaceWhatALinkShows)
{
  for (std::uint64_t const recorded : { 4, 6 }) {
    peer_registry registry{ instance_id{ "m" }, kWindow };
    registry.OnUp(kNow, Hello("a", 5));
    registry.OnRegistered(kNow, Hello("a", recorded));
    ASSERT_EQ(registry.Known().Reachable().size(), 1U);
    EXPECT_EQ(registry.Known().Reachable()[0], Hello("a", 5));
  }
}

TEST(TestPeerRegistry, EntriesStayWhileAParentIsReplaced)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a"));
  registry.OnRoster(kNow,
                    Hello("a").mIdentity,
                    Roster({ { .mHello = Hello("a"), .mIsReady = true },
                             { .mHello = Hello("b"), .mIsReady = true } }));
  registry.OnReport(
    kNow, Hello("a").mIdentity, { .mScope = report_scope::Rest });
  registry.OnDown(kNow, Hello("a").mIdentity);
  ASSERT_EQ(registry.Entries().size(), 1U);
  EXPECT_EQ(registry.Entries()[0].mInstance, instance_id{ "b" });
  registry.Prune(kNow + seconds{ 4 });
  EXPECT_TRUE(registry.Entries().empty());
}

// A report of another scope adds up other instances, so its difference to the
// report before isn't usage.
TEST(TestPeerRegistry, ReportOfAnotherScopeCountsNoUsage)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  registry.OnUp(kNow, Hello("a"));
  registry.OnReport(kNow, Hello("a").mIdentity, UsageReport(5));
  fleet_report rest = UsageReport(500);
  rest.mScope = report_scope::Rest;
  registry.OnReport(kNow + milliseconds{ 150 }, Hello("a").mIdentity, rest);
  EXPECT_EQ(TotalUsage(registry), 0);
  rest.mSpent[0].mUnits = 507;
  registry.OnReport(kNow + milliseconds{ 300 }, Hello("a").mIdentity, rest);
  EXPECT_EQ(TotalUsage(registry), 7);
}

TEST(TestPeerRegistry, InstanceInARosterIsNotUnreachable)
{
  peer_registry registry{ instance_id{ "m" }, kWindow };
  for (char const* const name : { "a", "b" })
    registry.OnUp(kNow, Hello(name));
  registry.OnRoster(
    kNow,
    Hello("a").mIdentity,
    Roster({ { .mHello = Hello("a") }, { .mHello = Hello("b") } }));
  registry.OnDown(kNow, Hello("b").mIdentity);
  EXPECT_TRUE(registry.Known().Unreachable().empty());
  registry.OnDown(kNow, Hello("a").mIdentity);
  EXPECT_EQ(registry.Known().Unreachable().size(), 1U);
}

TEST(TestPeerRegistry, ReadIsDueWhileNoOtherInstanceReads)
{
  reader_election election;
  EXPECT_TRUE(election.IsDue(kNow, false));
  EXPECT_FALSE(election.IsDue(kNow, true));
  election.OnReadStart(kNow);
  EXPECT_FALSE(election.IsDue(kNow, false));
  EXPECT_FALSE(election.IsReading(kNow));
  election.OnRead(kNow, true);
  EXPECT_TRUE(election.IsReading(kNow));
  EXPECT_FALSE(election.IsReading(kNow + seconds{ 2 }));
  // After a gap in the relayed records, the missing ones weren't read for 3 s.
  election.RequestRead();
  EXPECT_TRUE(election.IsDue(kNow, true));
  election.OnReadStart(kNow);
  EXPECT_FALSE(election.IsDue(kNow, true));
}

store_position
At(std::uint64_t aOffset)
{
  return { store_era{}, aOffset };
}

// A configuration that was relayed while a link changed was missed until the
// next one.
TEST(TestPeerRegistry, ReadIsDueAfterLaggingForTooLong)
{
  reader_election election;
  election.OnReadStart(kNow);
  election.OnPeerEnd(kNow, At(5), At(6));
  EXPECT_FALSE(election.IsDue(kNow, true));
  election.OnPeerEnd(kNow + milliseconds{ 150 }, At(6), At(6));
  election.OnPeerEnd(kNow + milliseconds{ 300 }, At(6), At(7));
  EXPECT_FALSE(election.IsDue(kNow + milliseconds{ 300 }, true));
  election.OnPeerEnd(kNow + milliseconds{ 600 }, At(6), At(7));
  EXPECT_TRUE(election.IsDue(kNow + milliseconds{ 600 }, true));
}

}

}
