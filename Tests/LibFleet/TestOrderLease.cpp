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

// The first lease of all, taken now.
order_lease
HeldLease()
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, 0);
  lease.OnSend(kNow);
  lease.OnAppended(0);
  return lease;
}

TEST(TestOrderLease, TheFirstHolderOrdersAtOnce)
{
  order_lease lease{ kSelf, kTerm };
  EXPECT_FALSE(lease.AppendAt());
  lease.OnRead(kNow, std::nullopt, 0);
  EXPECT_EQ(lease.AppendAt(), 0U);
  lease.OnSend(kNow);
  EXPECT_FALSE(lease.MayOrder(kNow));
  lease.OnAppended(0);
  EXPECT_EQ(lease.MayOrder(kNow), 0U);
}

TEST(TestOrderLease, ALeaseEndsBeforeItsTerm)
{
  order_lease lease = HeldLease();
  EXPECT_TRUE(lease.MayOrder(kNow + seconds{ 2 }));
  EXPECT_FALSE(lease.MayOrder(kNow + kTerm - milliseconds{ 300 }));
  EXPECT_TRUE(lease.IsRenewalDue(kNow + seconds{ 2 }));
}

TEST(TestOrderLease, ASuccessorWaitsAsLongAsTheOldLeaseMayCount)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, lease_record{ .mOffset = 4, .mHolder = kOther }, 5);
  lease.OnSend(kNow);
  lease.OnAppended(5);
  EXPECT_FALSE(lease.MayOrder(kNow + seconds{ 2 }));
  lease.OnSend(kNow + seconds{ 2 });
  lease.OnAppended(6);
  EXPECT_EQ(lease.MayOrder(kNow + kTerm), 6U);
}

// Found on trouble-3: a successor of an idle holder waited for nothing.
TEST(TestOrderLease, AnIdleHolderIsSucceededAtOnce)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnPeerLease(kNow, 4);
  instant const later = kNow + seconds{ 20 };
  lease.OnRead(later, lease_record{ .mOffset = 4, .mHolder = kOther }, 5);
  lease.OnSend(later);
  lease.OnAppended(5);
  EXPECT_EQ(lease.MayOrder(later), 5U);
}

TEST(TestOrderLease, ANewerLeaseOfAPeerEndsThisOne)
{
  order_lease lease = HeldLease();
  lease.OnPeerLease(kNow, 3);
  EXPECT_FALSE(lease.IsHeld());
  EXPECT_FALSE(lease.AppendAt());
}

TEST(TestOrderLease, AnAppendOfUnknownFateNeedsARead)
{
  order_lease lease{ kSelf, kTerm };
  lease.OnRead(kNow, std::nullopt, 0);
  lease.OnSend(kNow);
  lease.OnUncertain();
  EXPECT_FALSE(lease.IsHeld());
  // The record stood after all.
  lease.OnRead(kNow, lease_record{ .mOffset = 0, .mHolder = kSelf }, 1);
  lease.OnSend(kNow);
  lease.OnAppended(1);
  EXPECT_EQ(lease.MayOrder(kNow), 1U);
}

}

}
