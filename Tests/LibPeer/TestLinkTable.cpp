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
constexpr link_number kThird{ 3 };

// Guards against a restarted instance that all peers refuse for good: its clock
// was ahead at the start before, so that its number is lower now.
TEST(TestLinkTable, RestartWithALowerNumberIsAccepted)
{
  link_table table{ Identity("b", 1) };
  EXPECT_TRUE(
    table.OnHello(kFirst, link_direction::Accepted, Hello("c", 5)).mIsNew);
  EXPECT_EQ(table.OnClosed(kFirst), Identity("c", 5));
  hello_decision const restarted =
    table.OnHello(kSecond, link_direction::Accepted, Hello("c", 4));
  EXPECT_FALSE(restarted.mRefused.has_value());
  EXPECT_TRUE(restarted.mIsNew);
  EXPECT_EQ(table.Find(instance_id{ "c" }), kSecond);
}

// The link of the process before is still open, as after a loss of power.
TEST(TestLinkTable, LaterLinkEndsTheIncarnationBeforeWhateverItsNumber)
{
  for (std::uint64_t const later : { 4, 6 }) {
    link_table table{ Identity("b", 1) };
    table.OnHello(kFirst, link_direction::Accepted, Hello("c", 5));
    hello_decision const restarted =
      table.OnHello(kSecond, link_direction::Accepted, Hello("c", later));
    EXPECT_TRUE(restarted.mIsNew);
    EXPECT_EQ(restarted.mReplaced, kFirst);
    EXPECT_EQ(restarted.mEnded, Identity("c", 5));
    EXPECT_FALSE(table.OnClosed(kFirst).has_value());
    EXPECT_EQ(table.Find(instance_id{ "c" }), kSecond);
  }
}

// Guards against the delayed hello of an ended process that takes the link of
// the one that runs.
TEST(TestLinkTable, RefusesAHelloOnALinkThatOpenedEarlier)
{
  for (std::uint64_t const running : { 4, 6 }) {
    link_table table{ Identity("b", 1) };
    table.OnHello(kSecond, link_direction::Accepted, Hello("c", running));
    hello_decision const delayed =
      table.OnHello(kFirst, link_direction::Accepted, Hello("c", 5));
    EXPECT_EQ(delayed.mRefused, link_close_reason::OlderIncarnation);
    EXPECT_EQ(table.Find(instance_id{ "c" }), kSecond);
  }
}

TEST(TestLinkTable, RefusesAnIncarnationThatHasBeenReplaced)
{
  for (std::uint64_t const running : { 4, 6 }) {
    link_table table{ Identity("b", 1) };
    table.OnHello(kFirst, link_direction::Accepted, Hello("c", 5));
    table.OnHello(kSecond, link_direction::Accepted, Hello("c", running));
    hello_decision const delayed =
      table.OnHello(kThird, link_direction::Accepted, Hello("c", 5));
    EXPECT_EQ(delayed.mRefused, link_close_reason::OlderIncarnation);
    EXPECT_EQ(table.Find(instance_id{ "c" }), kSecond);
  }
}

// Both ends dial at once, and the hellos arrive in either order at each end. If
// the ends kept different links, each would close the link of the other.
TEST(TestLinkTable, BothEndsKeepTheSameLinkWhenBothDial)
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

// A peer whose end of a link has closed dials again, while this end has not yet
// noticed that the link is dead.
TEST(TestLinkTable, SecondDialOfAPeerReplacesItsHalfOpenLink)
{
  link_table table{ Identity("a", 1) };
  table.OnHello(kFirst, link_direction::Accepted, Hello("b", 1));
  hello_decision const second =
    table.OnHello(kSecond, link_direction::Accepted, Hello("b", 1));
  EXPECT_FALSE(second.mRefused.has_value());
  EXPECT_FALSE(second.mIsNew);
  EXPECT_EQ(second.mReplaced, kFirst);
}

TEST(TestLinkTable, RefusesItsOwnInstanceAndOtherVersions)
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
