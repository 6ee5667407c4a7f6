#include <LibFleet/PeerRegistry.h>
#include <LibFleet/ReaderElection.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
workspace_id const kWorkspace{ "w" };

peer_hello
Hello(char const* aName, std::uint64_t aIncarnation = 1)
{
  return { .mIdentity = { .mInstance = instance_id{ aName },
                          .mIncarnation = incarnation{ aIncarnation } } };
}

fleet_report
Spent(double aUnits)
{
  return { .mSpent = { { kWorkspace, aUnits } } };
}

fleet_roster
Roster(std::initializer_list<roster_entry> aEntries)
{
  return { .mEntries = aEntries };
}

double
SpentOf(peer_book const& aBook)
{
  double sum = 0;
  for (workspace_usage const& spent : aBook.Spending().Spent())
    sum += spent.mUnits;
  return sum;
}

TEST(TestPeerBook, ReadyPeersTakeCallersUntilTheyLeave)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  EXPECT_TRUE(book.Entries().empty());
  book.OnRoster(kNow,
                Hello("a").mIdentity,
                Roster({ { .mHello = Hello("a"), .mIsReady = true } }));
  EXPECT_EQ(book.Entries().size(), 1U);
  book.OnRoster(
    kNow,
    Hello("a").mIdentity,
    Roster({ { .mHello = Hello("a"), .mIsReady = true, .mIsLeaving = true } }));
  EXPECT_TRUE(book.Entries().empty());
}

TEST(TestPeerBook, SilentPeersKeepTheirShareAndAreForgottenAtLast)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mIdentity, Spent(0));
  EXPECT_EQ(book.Silent(kNow), 0U);
  EXPECT_EQ(book.Silent(kNow + seconds{ 1 }), 1U);
  book.OnDown(kNow + seconds{ 1 }, Hello("a").mIdentity);
  book.Prune(kNow + seconds{ 20 });
  EXPECT_EQ(book.Known().Count(), 1U);
  book.Prune(kNow + seconds{ 40 });
  EXPECT_EQ(book.Known().Count(), 0U);
}

TEST(TestPeerBook, SpendingAddsUpOverLives)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a", 1));
  book.OnReport(kNow, Hello("a", 1).mIdentity, Spent(0));
  book.OnReport(kNow + milliseconds{ 200 }, Hello("a", 1).mIdentity, Spent(15));
  EXPECT_EQ(SpentOf(book), 15);
  book.OnUp(kNow + milliseconds{ 300 }, Hello("a", 2));
  book.OnReport(kNow + milliseconds{ 400 }, Hello("a", 2).mIdentity, Spent(0));
  book.OnReport(kNow + milliseconds{ 600 }, Hello("a", 2).mIdentity, Spent(5));
  EXPECT_EQ(SpentOf(book), 20);
}

// Found in an incident: a new instance took all that the others had ever
// admitted for admitted just now, and refused for a whole window.
TEST(TestPeerBook, WhatWasAdmittedBeforeTheFirstReportIsNotCounted)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mIdentity, Spent(1'000'000));
  EXPECT_EQ(SpentOf(book), 0);
  book.OnReport(
    kNow + milliseconds{ 200 }, Hello("a").mIdentity, Spent(1'000'007));
  EXPECT_EQ(SpentOf(book), 7);
}

TEST(TestPeerBook, WhatASilentPeerSpentWasItsShare)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mIdentity, Spent(0));
  book.OnReport(kNow + milliseconds{ 200 }, Hello("a").mIdentity, Spent(10));
  book.OnReport(kNow + seconds{ 5 }, Hello("a").mIdentity, Spent(90));
  EXPECT_EQ(SpentOf(book), 10);
  book.OnReport(
    kNow + seconds{ 5 } + milliseconds{ 100 }, Hello("a").mIdentity, Spent(95));
  EXPECT_EQ(SpentOf(book), 15);
}

TEST(TestPeerBook, TheNewestLeaseSaysWhichServersTurn)
{
  peer_book book{ instance_id{ "m" } };
  for (char const* const name : { "a", "b" })
    book.OnUp(kNow, Hello(name));
  book.OnReport(kNow,
                Hello("a").mIdentity,
                { .mLease = 3, .mUpdating = { backend_server_id{ "old" } } });
  book.OnReport(kNow,
                Hello("b").mIdentity,
                { .mLease = 4, .mUpdating = { backend_server_id{ "new" } } });
  EXPECT_EQ(book.NewestLease(kNow), 4U);
  EXPECT_TRUE(book.Turning(kNow).contains(backend_server_id{ "new" }));
  EXPECT_FALSE(book.Turning(kNow).contains(backend_server_id{ "old" }));
  EXPECT_TRUE(book.Turning(kNow + seconds{ 2 }).empty());
}

TEST(TestPeerBook, TheFirstInstanceThatCanReadsForAll)
{
  peer_book book{ instance_id{ "m" } };
  for (char const* const name : { "a", "z" })
    book.OnUp(kNow, Hello(name));
  book.OnReport(kNow, Hello("z").mIdentity, { .mReader = instance_id{ "z" } });
  EXPECT_FALSE(book.HasReader(kNow));
  EXPECT_EQ(book.Rank(kNow), 0U);
  book.OnReport(kNow, Hello("a").mIdentity, { .mReader = instance_id{ "a" } });
  EXPECT_TRUE(book.HasReader(kNow));
  EXPECT_EQ(book.Rank(kNow), 1U);
  EXPECT_FALSE(book.HasReader(kNow + seconds{ 2 }));
}

TEST(TestPeerBook, InstancesBehindALinkCountAsHeard)
{
  peer_book book{ instance_id{ "m" } };
  book.OnRegistered(kNow, Hello("b"));
  book.OnRegistered(kNow, Hello("gone"));
  book.OnUp(kNow, Hello("a"));
  EXPECT_EQ(book.Silent(kNow), 3U);
  book.OnRoster(kNow,
                Hello("a").mIdentity,
                Roster({ { .mHello = Hello("a") },
                         { .mHello = Hello("b") },
                         { .mHello = Hello("m") } }));
  book.OnReport(kNow, Hello("a").mIdentity, { .mScope = report_scope::Rest });
  EXPECT_EQ(book.Known().Count(), 3U);
  EXPECT_EQ(book.Silent(kNow), 1U);
  EXPECT_EQ(book.Rank(kNow), 2U);
  EXPECT_EQ(book.Silent(kNow + seconds{ 2 }), 3U);
}

TEST(TestPeerBook, CallersAreSentOnWhileAParentIsReplaced)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnRoster(kNow,
                Hello("a").mIdentity,
                Roster({ { .mHello = Hello("a"), .mIsReady = true },
                         { .mHello = Hello("b"), .mIsReady = true } }));
  book.OnReport(kNow, Hello("a").mIdentity, { .mScope = report_scope::Rest });
  book.OnDown(kNow, Hello("a").mIdentity);
  ASSERT_EQ(book.Entries().size(), 1U);
  EXPECT_EQ(book.Entries()[0].mInstance, instance_id{ "b" });
  book.Prune(kNow + seconds{ 4 });
  EXPECT_TRUE(book.Entries().empty());
}

// A report of another scope adds up other instances, so its difference to the
// one before is no spending.
TEST(TestPeerBook, AChangeOfScopeCountsNothing)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mIdentity, Spent(5));
  fleet_report rest = Spent(500);
  rest.mScope = report_scope::Rest;
  book.OnReport(kNow + milliseconds{ 150 }, Hello("a").mIdentity, rest);
  EXPECT_EQ(SpentOf(book), 0);
  rest.mSpent[0].mUnits = 507;
  book.OnReport(kNow + milliseconds{ 300 }, Hello("a").mIdentity, rest);
  EXPECT_EQ(SpentOf(book), 7);
}

TEST(TestPeerBook, AnInstanceThatOthersHearOfIsNotAway)
{
  peer_book book{ instance_id{ "m" } };
  for (char const* const name : { "a", "b" })
    book.OnUp(kNow, Hello(name));
  book.OnRoster(kNow,
                Hello("a").mIdentity,
                Roster({ { .mHello = Hello("a") }, { .mHello = Hello("b") } }));
  book.OnDown(kNow, Hello("b").mIdentity);
  EXPECT_TRUE(book.Known().Away().empty());
  book.OnDown(kNow, Hello("a").mIdentity);
  EXPECT_EQ(book.Known().Away().size(), 1U);
}

TEST(TestPeerBook, AnInstanceReadsWhileNobodyElseDoes)
{
  store_duty duty;
  EXPECT_TRUE(duty.IsDue(kNow, false));
  EXPECT_FALSE(duty.IsDue(kNow, true));
  duty.OnStart(kNow);
  EXPECT_FALSE(duty.IsDue(kNow, false));
  EXPECT_FALSE(duty.IsReading(kNow));
  duty.OnRead(kNow, true);
  EXPECT_TRUE(duty.IsReading(kNow));
  EXPECT_FALSE(duty.IsReading(kNow + seconds{ 2 }));
  // Found in a hunt: a gap in what the reader passed on stayed for 3 s.
  duty.ReadSoon();
  EXPECT_TRUE(duty.IsDue(kNow, true));
  duty.OnStart(kNow);
  EXPECT_FALSE(duty.IsDue(kNow, true));
}

// A configuration that was passed on while a link changed was missed until the
// next one.
TEST(TestPeerBook, AnInstanceReadsWhatItMissed)
{
  store_duty duty;
  duty.OnStart(kNow);
  duty.OnPeerEnd(kNow, 5, 6);
  EXPECT_FALSE(duty.IsDue(kNow, true));
  duty.OnPeerEnd(kNow + milliseconds{ 150 }, 6, 6);
  duty.OnPeerEnd(kNow + milliseconds{ 300 }, 6, 7);
  EXPECT_FALSE(duty.IsDue(kNow + milliseconds{ 300 }, true));
  duty.OnPeerEnd(kNow + milliseconds{ 600 }, 6, 7);
  EXPECT_TRUE(duty.IsDue(kNow + milliseconds{ 600 }, true));
}

}

}
