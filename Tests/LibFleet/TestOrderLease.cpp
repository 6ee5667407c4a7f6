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

// A lease that was acquired at kNow on an empty topic.
order_lease
HeldLease()
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, 0);
  lease.OnSend(kNow);
  lease.OnAppended(0);
  return lease;
}

TEST(TestOrderLease, FirstHolderMayOrderAtOnce)
{
  order_lease lease{ kSelf, kTerm };
  EXPECT_FALSE(lease.AppendOffset());
  lease.OnRead(kNow, std::nullopt, 0);
  EXPECT_EQ(lease.AppendOffset(), 0U);
  lease.OnSend(kNow);
  EXPECT_FALSE(lease.FencingNumber(kNow));
  lease.OnAppended(0);
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
  lease.OnAppended(1);
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
  lease.OnRead(kNow, lease_record{ .mOffset = 4, .mHolder = kOther }, 5);
  lease.OnSend(kNow);
  lease.OnAppended(5);
  EXPECT_FALSE(lease.FencingNumber(kNow + seconds{ 2 }));
  lease.OnSend(kNow + seconds{ 2 });
  lease.OnAppended(6);
  EXPECT_EQ(lease.FencingNumber(kNow + kTerm), 6U);
}

// A successor of an idle holder waited although the old term was over; found on
// trouble-3.
TEST(TestOrderLease, SuccessorOfAnIdleHolderMayOrderAtOnce)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnPeerLease(kNow, 4);
  instant const later = kNow + seconds{ 20 };
  lease.OnRead(later, lease_record{ .mOffset = 4, .mHolder = kOther }, 5);
  lease.OnSend(later);
  lease.OnAppended(5);
  EXPECT_EQ(lease.FencingNumber(later), 5U);
}

TEST(TestOrderLease, NewerLeaseOfAPeerEndsTheHeldLease)
{
  order_lease lease = HeldLease();
  lease.OnPeerLease(kNow, 3);
  EXPECT_FALSE(lease.IsHeld());
  EXPECT_FALSE(lease.AppendOffset());
}

TEST(TestOrderLease, AppendOfUnknownOutcomeRequiresARead)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, 0);
  lease.OnSend(kNow);
  lease.Invalidate();
  EXPECT_FALSE(lease.IsHeld());
  // The record had been appended after all.
  lease.OnRead(kNow, lease_record{ .mOffset = 0, .mHolder = kSelf }, 1);
  lease.OnSend(kNow);
  lease.OnAppended(1);
  EXPECT_EQ(lease.FencingNumber(kNow), 1U);
}

}

}
