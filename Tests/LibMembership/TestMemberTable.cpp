#include <LibMembership/MemberTable.h>

#include <Tests/LibMembership/MakeMembers.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace lycheeseam {
namespace {

using std::chrono::seconds;

class member_table_test : public testing::Test
{
protected:
  [[nodiscard]] bool IsUsable(std::size_t aInstance) const
  {
    std::vector<member> const usable = mTable.Usable();
    return std::any_of(
      usable.begin(), usable.end(), [&](member const& aMember) {
        return aMember.mIdentity.mInstance ==
               mMembers[aInstance].mIdentity.mInstance;
      });
  }

  [[nodiscard]] member Restarted(std::size_t aInstance,
                                 std::uint64_t aNumber = 2) const
  {
    member next = mMembers[aInstance];
    next.mIdentity.mIncarnation = incarnation{ aNumber };
    return next;
  }

  std::vector<member> mMembers = MakeMembers(4, 2);
  member_table mTable{ mMembers[0], {} };
  instant mNow = instant{} + seconds{ 100 };
};

TEST_F(member_table_test, ListedInstancesAreUsableWithoutALink)
{
  EXPECT_EQ(mTable.Members().size(), 1u);
  mTable.SetList(mMembers, mNow);
  EXPECT_EQ(mTable.Usable().size(), 4u);
}

TEST_F(member_table_test, LinkStateTakesPrecedenceOverALaggingList)
{
  mTable.SetList(mMembers, mNow);
  mTable.OnPeerUp(mMembers[1], mNow);
  mTable.OnLeaving(mMembers[1].mIdentity);
  mTable.SetList(mMembers, mNow);
  EXPECT_FALSE(IsUsable(1));
  mTable.OnPeerUp(mMembers[2], mNow);
  mTable.OnPeerDown(mMembers[2].mIdentity, mNow);
  mTable.SetList(mMembers, mNow);
  EXPECT_FALSE(IsUsable(2));
  mTable.OnPeerUp(mMembers[2], mNow);
  EXPECT_TRUE(IsUsable(2));
}

TEST_F(member_table_test, ReportsOfAnOlderIncarnationAreIgnored)
{
  mTable.OnPeerUp(Restarted(1), mNow);
  mTable.OnPeerDown(mMembers[1].mIdentity, mNow);
  mTable.OnLeaving(mMembers[1].mIdentity);
  mTable.SetList(mMembers, mNow);
  EXPECT_TRUE(IsUsable(1));
  EXPECT_EQ(mTable.IdentityOf(mMembers[1].mIdentity.mInstance),
            Restarted(1).mIdentity);
}

// Guards against a restarted instance that callers aren't sent to any more, as
// its clock has jumped back and its number is lower.
TEST_F(member_table_test, RestartIsUsableWhateverItsNumber)
{
  for (std::uint64_t const number : { 0, 2 }) {
    member_table table{ mMembers[0], {} };
    table.OnPeerUp(mMembers[1], mNow);
    table.OnPeerDown(mMembers[1].mIdentity, mNow);
    table.OnPeerUp(Restarted(1, number), mNow);
    EXPECT_EQ(table.Usable().size(), 2u);
    EXPECT_EQ(table.IdentityOf(mMembers[1].mIdentity.mInstance),
              Restarted(1, number).mIdentity);
  }
}

TEST_F(member_table_test, ListShowsARestartWithoutALinkWhateverItsNumber)
{
  for (std::uint64_t const number : { 0, 2 }) {
    member_table table{ mMembers[0], {} };
    table.SetList(mMembers, mNow);
    std::vector<member> restarted = mMembers;
    restarted[1] = Restarted(1, number);
    table.SetList(restarted, mNow);
    EXPECT_EQ(table.IdentityOf(mMembers[1].mIdentity.mInstance),
              restarted[1].mIdentity);
    // A list that lags further behind shows the process before again.
    table.SetList(mMembers, mNow + seconds{ 1 });
    EXPECT_EQ(table.IdentityOf(mMembers[1].mIdentity.mInstance),
              restarted[1].mIdentity);
    // One that still does after that is right.
    table.SetList(mMembers, mNow + seconds{ 40 });
    EXPECT_EQ(table.IdentityOf(mMembers[1].mIdentity.mInstance),
              mMembers[1].mIdentity);
  }
}

// Guards against repeats that wait until their deadline for an owner that has
// ended, and against ones that are refused while it runs.
TEST_F(member_table_test, IncarnationsMayRunUntilAnotherOneIsKnown)
{
  for (std::uint64_t const number : { 0, 2 }) {
    member_table table{ mMembers[0], {} };
    instance_identity const before = mMembers[1].mIdentity;
    instance_identity const after = Restarted(1, number).mIdentity;
    EXPECT_FALSE(table.MayRun(before));
    table.SetList(mMembers, mNow);
    EXPECT_TRUE(table.MayRun(before));
    // The list may not show it yet.
    EXPECT_TRUE(table.MayRun(after));
    table.OnPeerUp(Restarted(1, number), mNow);
    EXPECT_FALSE(table.MayRun(before));
    EXPECT_TRUE(table.MayRun(after));
    table.OnPeerDown(after, mNow);
    EXPECT_FALSE(table.MayRun(before));
    EXPECT_TRUE(table.MayRun(after));
  }
}

TEST_F(member_table_test, ARestartEndsLeaving)
{
  mTable.SetList(mMembers, mNow);
  mTable.OnLeaving(mMembers[1].mIdentity);
  mTable.OnPeerUp(Restarted(1), mNow);
  EXPECT_TRUE(IsUsable(1));
}

TEST_F(member_table_test, UnlistedInstancesStayWhileLinkedAndForTheGracePeriod)
{
  std::vector<member> const others(mMembers.begin(), mMembers.begin() + 3);
  mTable.OnPeerUp(mMembers[3], mNow);
  mTable.SetList(others, mNow);
  EXPECT_TRUE(IsUsable(3));
  mTable.OnPeerDown(mMembers[3].mIdentity, mNow);
  mTable.SetList(others, mNow + seconds{ 29 });
  EXPECT_EQ(mTable.Members().size(), 4u);
  mTable.SetList(others, mNow + seconds{ 30 });
  EXPECT_EQ(mTable.Members().size(), 3u);
}

TEST_F(member_table_test, KeepsItselfWhenUnlisted)
{
  mTable.SetList({}, mNow);
  EXPECT_TRUE(IsUsable(0));
  mTable.OnSelfLeaving();
  EXPECT_TRUE(mTable.Usable().empty());
  EXPECT_EQ(mTable.Members().size(), 1u);
}

}
}
