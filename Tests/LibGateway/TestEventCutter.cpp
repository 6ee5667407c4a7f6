#include <LibGateway/EventCutter.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

TEST(TestEventCutter, EventsComeOutWholeHoweverTheyBreak)
{
  std::string const stream = "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_cutter cutter;
    std::string out = cutter.Cut(stream.substr(0, cut));
    EXPECT_TRUE(out.empty() || out.ends_with("\n\n"));
    out += cutter.Cut(stream.substr(cut));
    EXPECT_EQ(out, stream);
    EXPECT_EQ(cutter.LastId(), 2U);
    EXPECT_TRUE(cutter.IsAtEventEnd());
  }
}

TEST(TestEventCutter, APartOfAnEventStaysBehind)
{
  event_cutter cutter;
  EXPECT_EQ(cutter.Cut("id: 1\n\nid: 2\nda"), "id: 1\n\n");
  EXPECT_FALSE(cutter.IsAtEventEnd());
  EXPECT_EQ(cutter.LastId(), 1U);
  cutter.DropRest();
  EXPECT_EQ(cutter.Cut("id: 2\n\n"), "id: 2\n\n");
}

TEST(TestEventCutter, TheRestCanBeTaken)
{
  event_cutter cutter;
  EXPECT_EQ(cutter.Cut("plain bytes"), "");
  EXPECT_EQ(cutter.TakeRest(), "plain bytes");
  EXPECT_FALSE(cutter.LastId());
}

}

}
