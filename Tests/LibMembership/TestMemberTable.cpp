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

  [[nodiscard]] member Restarted(std::size_t aInstance) const
  {
    member next = mMembers[aInstance];
    next.mIdentity.mIncarnation = incarnation{ 2 };
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
  mTable.OnPeerUp(mMembers[1]);
  mTable.OnLeaving(mMembers[1].mIdentity);
  mTable.SetList(mMembers, mNow);
  EXPECT_FALSE(IsUsable(1));
  mTable.OnPeerUp(mMembers[2]);
  mTable.OnPeerDown(mMembers[2].mIdentity, mNow);
  mTable.SetList(mMembers, mNow);
  EXPECT_FALSE(IsUsable(2));
  mTable.OnPeerUp(mMembers[2]);
  EXPECT_TRUE(IsUsable(2));
}

TEST_F(member_table_test, ReportsOfAnOlderIncarnationAreIgnored)
{
  mTable.OnPeerUp(Restarted(1));
  mTable.OnPeerDown(mMembers[1].mIdentity, mNow);
  mTable.OnLeaving(mMembers[1].mIdentity);
  mTable.SetList(mMembers, mNow);
  EXPECT_TRUE(IsUsable(1));
  EXPECT_EQ(mTable.IdentityOf(mMembers[1].mIdentity.mInstance),
            Restarted(1).mIdentity);
}

TEST_F(member_table_test, ARestartEndsLeaving)
{
  mTable.SetList(mMembers, mNow);
  mTable.OnLeaving(mMembers[1].mIdentity);
  mTable.OnPeerUp(Restarted(1));
  EXPECT_TRUE(IsUsable(1));
}

TEST_F(member_table_test, UnlistedInstancesStayWhileLinkedAndForTheGracePeriod)
{
  std::vector<member> const others(mMembers.begin(), mMembers.begin() + 3);
  mTable.OnPeerUp(mMembers[3]);
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
