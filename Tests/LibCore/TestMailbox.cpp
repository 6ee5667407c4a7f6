#include <LibCore/Mailbox.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestMailbox, CallsWakeOnceUntilDrained)
{
  int wakes = 0;
  auto const wake = [&wakes]() { ++wakes; };
  mailbox<int, decltype(wake)> box{ wake };
  box.Post(1);
  box.Post(2);
  EXPECT_EQ(wakes, 1);
  EXPECT_EQ(box.Drain(), (std::vector<int>{ 1, 2 }));
  box.Post(3);
  EXPECT_EQ(wakes, 2);
}

}
}
