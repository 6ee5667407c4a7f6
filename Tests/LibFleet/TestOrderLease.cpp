#include <LibFleet/OrderLease.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kTerm = seconds{ 3 };
instant const kNow = instant{} + seconds{ 100 };
instance_id const kSelf{ "a" };
instance_id const kOther{ "b" };

store_position
At(std::uint64_t aOffset)
{
  return { store_era{}, aOffset };
}

// A lease that was acquired at kNow on an empty topic.
order_lease
HeldLease()
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, At(0));
  lease.OnSend(kNow);
  lease.OnAppended(At(0));
  return lease;
}

TEST(TestOrderLease, FirstHolderMayOrderAtOnce)
{
  order_lease lease{ kSelf, kTerm };
  EXPECT_FALSE(lease.AppendPosition());
  lease.OnRead(kNow, std::nullopt, At(0));
  EXPECT_EQ(lease.AppendPosition(), At(0));
  lease.OnSend(kNow);
  EXPECT_FALSE(lease.FencingNumber(kNow));
  lease.OnAppended(At(0));
  EXPECT_EQ(lease.FencingNumber(kNow), 0U);
}

// Guards against an update that stops while the store turns its holder away: on
// a recorded day the holder tried to renew for 8 s, 20 times a second, and no
// other instance took over, since it still reported to hold the lease.
TEST(TestOrderLease, HolderThatTheStoreRefusesLosesTheLeaseAfterItsTerm)
{
  order_lease lease = HeldLease();
  lease.OnRefused(kNow + milliseconds{ 1'600 });
  EXPECT_TRUE(lease.FencingNumber(kNow + seconds{ 2 }));
  EXPECT_FALSE(lease.IsLost(kNow + seconds{ 2 }));
  EXPECT_TRUE(lease.IsLost(kNow + kTerm));
  // An idle holder's term is long over; it has a second to renew.
  lease = HeldLease();
  lease.OnRefused(kNow + seconds{ 20 });
  EXPECT_FALSE(lease.IsLost(kNow + milliseconds{ 20'900 }));
  EXPECT_TRUE(lease.IsLost(kNow + milliseconds{ 21'100 }));
  lease.OnAppended(At(1));
  EXPECT_FALSE(lease.IsLost(kNow + milliseconds{ 21'100 }));
}

TEST(TestOrderLease, OrdersStopAMarginBeforeTheTermEnds)
{
  order_lease lease = HeldLease();
  EXPECT_TRUE(lease.FencingNumber(kNow + seconds{ 2 }));
  EXPECT_FALSE(lease.FencingNumber(kNow + kTerm - milliseconds{ 300 }));
  EXPECT_TRUE(lease.IsRenewalDue(kNow + seconds{ 2 }));
}

TEST(TestOrderLease, SuccessorWaitsForTheTermOfTheOldLease)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, lease_record{ .mNumber = 4, .mHolder = kOther }, At(5));
  lease.OnSend(kNow);
  lease.OnAppended(At(5));
  EXPECT_FALSE(lease.FencingNumber(kNow + seconds{ 2 }));
  lease.OnSend(kNow + seconds{ 2 });
  lease.OnAppended(At(6));
  EXPECT_EQ(lease.FencingNumber(kNow + kTerm), 6U);
}

// A successor of an idle holder waited although the old term was over; found on
// trouble-3.
TEST(TestOrderLease, SuccessorOfAnIdleHolderMayOrderAtOnce)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnPeerLease(kNow, 4);
  instant const later = kNow + seconds{ 20 };
  lease.OnRead(later, lease_record{ .mNumber = 4, .mHolder = kOther }, At(5));
  lease.OnSend(later);
  lease.OnAppended(At(5));
  EXPECT_EQ(lease.FencingNumber(later), 5U);
}

TEST(TestOrderLease, NewerLeaseOfAPeerEndsTheHeldLease)
{
  order_lease lease = HeldLease();
  lease.OnPeerLease(kNow, 3);
  EXPECT_FALSE(lease.IsHeld());
  EXPECT_FALSE(lease.AppendPosition());
}

TEST(TestOrderLease, AppendOfUnknownOutcomeRequiresARead)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, At(0));
  lease.OnSend(kNow);
  lease.Invalidate();
  EXPECT_FALSE(lease.IsHeld());
  // The record had been appended after all.
  lease.OnRead(kNow, lease_record{ .mNumber = 0, .mHolder = kSelf }, At(1));
  lease.OnSend(kNow);
  lease.OnAppended(At(1));
  EXPECT_EQ(lease.FencingNumber(kNow), 1U);
}

// Guards against two instances that take the lease from each other in turn.
TEST(TestOrderLease, LeaseIsLeftToAHolderThatNoPeerReportsForATerm)
{
  order_lease lease = HeldLease();
  lease.OnConflict();
  EXPECT_FALSE(lease.IsHeld());
  lease.OnRead(kNow, lease_record{ .mNumber = 1, .mHolder = kOther }, At(2));
  EXPECT_TRUE(lease.IsLeftToOther(kNow + kTerm - milliseconds{ 1 }));
  EXPECT_FALSE(lease.IsLeftToOther(kNow + kTerm));
  // The other has renewed it meanwhile.
  lease.OnSend(kNow + kTerm);
  lease.OnConflict();
  instant const later = kNow + kTerm + milliseconds{ 600 };
  lease.OnRead(later, lease_record{ .mNumber = 3, .mHolder = kOther }, At(4));
  EXPECT_TRUE(lease.IsLeftToOther(later + kTerm - milliseconds{ 1 }));
  EXPECT_FALSE(lease.IsLeftToOther(later + kTerm));
}

// The end of the link to a holder shows at once that it has failed.
TEST(TestOrderLease, LeaseOfAHolderThatAPeerReportedIsTakenWithoutAWait)
{
  order_lease lease = HeldLease();
  lease.OnConflict();
  lease.OnRead(kNow, lease_record{ .mNumber = 1, .mHolder = kOther }, At(2));
  lease.OnPeerLease(kNow + milliseconds{ 100 }, 1);
  EXPECT_FALSE(lease.IsLeftToOther(kNow + milliseconds{ 100 }));
}

// The append before had succeeded, but its answer was lost.
TEST(TestOrderLease, OwnRecordAfterAConflictIsNoOtherHolder)
{
  order_lease lease = HeldLease();
  lease.OnConflict();
  lease.OnRead(kNow, lease_record{ .mNumber = 1, .mHolder = kSelf }, At(2));
  EXPECT_FALSE(lease.IsLeftToOther(kNow));
}

// Guards against orders of two holders: the log that came back from a copy
// lacks the record of the one that still gives orders.
TEST(TestOrderLease, NobodyOrdersUntilTheTermOfALostLeaseIsOver)
{
  store_era const restored{ 1 };
  order_lease lease{ kSelf, kTerm };
  lease.OnStoreEra(kNow, store_era{});
  lease.OnRead(kNow, std::nullopt, { restored, 0 });
  lease.OnSend(kNow);
  lease.OnAppended({ restored, 0 });
  EXPECT_TRUE(lease.IsHeld());
  EXPECT_FALSE(lease.FencingNumber(kNow + milliseconds{ 2'500 }));
  lease.OnSend(kNow + seconds{ 2 });
  lease.OnAppended({ restored, 1 });
  EXPECT_TRUE(lease.FencingNumber(kNow + kTerm));
}

// Guards against fencing numbers that fall back together with the offsets.
TEST(TestOrderLease, FencingNumbersGoOnRisingAfterARestore)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, At(900));
  lease.OnSend(kNow);
  lease.OnAppended(At(900));
  std::uint64_t const before = lease.FencingNumber(kNow).value();
  store_era const restored{ 1 };
  lease.OnStoreEra(kNow, restored);
  EXPECT_FALSE(lease.IsHeld());
  instant const later = kNow + kTerm;
  lease.OnRead(later, std::nullopt, { restored, 3 });
  lease.OnSend(later);
  lease.OnAppended({ restored, 3 });
  EXPECT_GT(lease.FencingNumber(later).value(), before);
}

// What was read before shows no records that others have appended since.
TEST(TestOrderLease, RecordInALaterEraThanTheReadGrantsNothing)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, At(4));
  lease.OnSend(kNow);
  lease.OnAppended({ store_era{ 1 }, 4 });
  EXPECT_FALSE(lease.IsHeld());
  EXPECT_FALSE(lease.AppendPosition());
}

}

}
