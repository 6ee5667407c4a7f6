#include <LibFleet/PeerBook.h>
#include <LibFleet/StoreDuty.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
workspace_id const kWorkspace{ "w" };

peer_hello
Hello(char const* aName, std::uint64_t aLife = 1)
{
  return { .mLife = { .mInstance = instance_id{ aName },
                      .mIncarnation = incarnation{ aLife } } };
}

fleet_report
Spent(double aUnits)
{
  return { .mIsReady = true, .mSpent = { { kWorkspace, aUnits } } };
}

double
SpentOf(peer_book const& aBook)
{
  double sum = 0;
  for (spent_units const& spent : aBook.Spent())
    sum += spent.mUnits;
  return sum;
}

TEST(TestPeerBook, ReadyPeersTakeCallersUntilTheyLeave)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  EXPECT_TRUE(book.Entries().empty());
  book.OnReport(kNow, Hello("a").mLife, { .mIsReady = true });
  EXPECT_EQ(book.Entries().size(), 1U);
  book.OnReport(
    kNow, Hello("a").mLife, { .mIsLeaving = true, .mIsReady = true });
  EXPECT_TRUE(book.Entries().empty());
}

TEST(TestPeerBook, SilentPeersKeepTheirShareAndAreForgottenAtLast)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mLife, Spent(0));
  EXPECT_EQ(book.Silent(kNow), 0U);
  EXPECT_EQ(book.Silent(kNow + seconds{ 1 }), 1U);
  book.OnDown(kNow + seconds{ 1 }, Hello("a").mLife);
  book.Prune(kNow + seconds{ 20 });
  EXPECT_EQ(book.Count(), 1U);
  book.Prune(kNow + seconds{ 40 });
  EXPECT_EQ(book.Count(), 0U);
}

TEST(TestPeerBook, SpendingAddsUpOverLives)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a", 1));
  book.OnReport(kNow, Hello("a", 1).mLife, Spent(0));
  book.OnReport(kNow + milliseconds{ 200 }, Hello("a", 1).mLife, Spent(15));
  EXPECT_EQ(SpentOf(book), 15);
  book.OnUp(kNow + milliseconds{ 300 }, Hello("a", 2));
  book.OnReport(kNow + milliseconds{ 400 }, Hello("a", 2).mLife, Spent(0));
  book.OnReport(kNow + milliseconds{ 600 }, Hello("a", 2).mLife, Spent(5));
  EXPECT_EQ(SpentOf(book), 20);
}

// Found in an incident: a new instance took all that the others had ever
// admitted for admitted just now, and refused for a whole window.
TEST(TestPeerBook, WhatWasAdmittedBeforeTheFirstReportIsNotCounted)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mLife, Spent(1'000'000));
  EXPECT_EQ(SpentOf(book), 0);
  book.OnReport(kNow + milliseconds{ 200 }, Hello("a").mLife, Spent(1'000'007));
  EXPECT_EQ(SpentOf(book), 7);
}

TEST(TestPeerBook, WhatASilentPeerSpentWasItsShare)
{
  peer_book book{ instance_id{ "m" } };
  book.OnUp(kNow, Hello("a"));
  book.OnReport(kNow, Hello("a").mLife, Spent(0));
  book.OnReport(kNow + milliseconds{ 200 }, Hello("a").mLife, Spent(10));
  book.OnReport(kNow + seconds{ 5 }, Hello("a").mLife, Spent(90));
  EXPECT_EQ(SpentOf(book), 10);
  book.OnReport(
    kNow + seconds{ 5 } + milliseconds{ 100 }, Hello("a").mLife, Spent(95));
  EXPECT_EQ(SpentOf(book), 15);
}

TEST(TestPeerBook, TheNewestLeaseSaysWhichServersTurn)
{
  peer_book book{ instance_id{ "m" } };
  for (char const* const name : { "a", "b" })
    book.OnUp(kNow, Hello(name));
  book.OnReport(kNow,
                Hello("a").mLife,
                { .mLease = 3, .mTurning = { backend_server_id{ "old" } } });
  book.OnReport(kNow,
                Hello("b").mLife,
                { .mLease = 4, .mTurning = { backend_server_id{ "new" } } });
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
  book.OnReport(kNow, Hello("z").mLife, { .mReadsStore = true });
  EXPECT_FALSE(book.HasReader(kNow));
  EXPECT_EQ(book.Rank(kNow), 0U);
  book.OnReport(kNow, Hello("a").mLife, { .mReadsStore = true });
  EXPECT_TRUE(book.HasReader(kNow));
  EXPECT_EQ(book.Rank(kNow), 1U);
  EXPECT_FALSE(book.HasReader(kNow + seconds{ 2 }));
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

}

}
