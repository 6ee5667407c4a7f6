#include <LibPeer/LinkTable.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

instance_identity
Identity(char const* aName, std::uint64_t aIncarnation)
{
  return { .mInstance = instance_id{ aName },
           .mIncarnation = incarnation{ aIncarnation } };
}

peer_hello
Hello(char const* aName, std::uint64_t aIncarnation)
{
  return { .mIdentity = Identity(aName, aIncarnation) };
}

constexpr link_number kFirst{ 1 };
constexpr link_number kSecond{ 2 };

TEST(TestLinkTable, RefusesOlderLives)
{
  link_table table{ Identity("b", 1) };
  EXPECT_TRUE(
    table.OnHello(kFirst, link_direction::Accepted, Hello("c", 5)).mIsNew);
  EXPECT_EQ(table.OnClosed(kFirst), Identity("c", 5));
  hello_decision const late =
    table.OnHello(kSecond, link_direction::Accepted, Hello("c", 4));
  EXPECT_EQ(late.mRefused, link_close_reason::OlderIncarnation);
  EXPECT_FALSE(table.Find(instance_id{ "c" }).has_value());
}

TEST(TestLinkTable, ANewerLifeEndsTheOlderOne)
{
  link_table table{ Identity("b", 1) };
  table.OnHello(kFirst, link_direction::Accepted, Hello("c", 5));
  hello_decision const newer =
    table.OnHello(kSecond, link_direction::Accepted, Hello("c", 6));
  EXPECT_TRUE(newer.mIsNew);
  EXPECT_EQ(newer.mReplaced, kFirst);
  EXPECT_EQ(newer.mEnded, Identity("c", 5));
  EXPECT_FALSE(table.OnClosed(kFirst).has_value());
  EXPECT_EQ(table.Find(instance_id{ "c" }), kSecond);
}

// Both ends dial at once; the hellos come in either order at each end.
TEST(TestLinkTable, BothEndsKeepTheSameLink)
{
  for (int order = 0; order < 4; ++order) {
    link_table lesser{ Identity("a", 1) };
    link_table greater{ Identity("b", 1) };
    link_number const byLesser{ 1 };
    link_number const byGreater{ 2 };
    auto const atLesser = [&](link_number aLink) {
      lesser.OnHello(aLink,
                     aLink == byLesser ? link_direction::Dialled
                                       : link_direction::Accepted,
                     Hello("b", 1));
    };
    auto const atGreater = [&](link_number aLink) {
      greater.OnHello(aLink,
                      aLink == byGreater ? link_direction::Dialled
                                         : link_direction::Accepted,
                      Hello("a", 1));
    };
    atLesser(order & 1 ? byLesser : byGreater);
    atLesser(order & 1 ? byGreater : byLesser);
    atGreater(order & 2 ? byLesser : byGreater);
    atGreater(order & 2 ? byGreater : byLesser);
    EXPECT_EQ(lesser.Find(instance_id{ "b" }), byLesser);
    EXPECT_EQ(greater.Find(instance_id{ "a" }), byLesser);
  }
}

TEST(TestLinkTable, ADialThatReturnsReplacesAHalfOpenLink)
{
  link_table table{ Identity("a", 1) };
  table.OnHello(kFirst, link_direction::Accepted, Hello("b", 1));
  hello_decision const again =
    table.OnHello(kSecond, link_direction::Accepted, Hello("b", 1));
  EXPECT_FALSE(again.mRefused.has_value());
  EXPECT_FALSE(again.mIsNew);
  EXPECT_EQ(again.mReplaced, kFirst);
}

TEST(TestLinkTable, RefusesItselfAndOtherVersions)
{
  link_table table{ Identity("a", 1) };
  EXPECT_EQ(
    table.OnHello(kFirst, link_direction::Dialled, Hello("a", 1)).mRefused,
    link_close_reason::Self);
  peer_hello other = Hello("b", 1);
  other.mVersion = kPeerProtocolVersion + 1;
  EXPECT_EQ(table.OnHello(kFirst, link_direction::Dialled, other).mRefused,
            link_close_reason::WrongVersion);
}

}
}
