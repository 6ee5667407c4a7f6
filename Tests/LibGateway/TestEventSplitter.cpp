#include <LibGateway/EventSplitter.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

TEST(TestEventSplitter, ReturnsCompleteEventsForEverySplit)
{
  std::string const stream = "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    event_splitter splitter;
    std::string out = splitter.Split(stream.substr(0, cut));
    EXPECT_TRUE(out.empty() || out.ends_with("\n\n"));
    out += splitter.Split(stream.substr(cut));
    EXPECT_EQ(out, stream);
    EXPECT_EQ(splitter.LastId(), 2U);
    EXPECT_TRUE(splitter.IsAtEventEnd());
  }
}

TEST(TestEventSplitter, KeepsPartialEvent)
{
  event_splitter splitter;
  EXPECT_EQ(splitter.Split("id: 1\n\nid: 2\nda"), "id: 1\n\n");
  EXPECT_FALSE(splitter.IsAtEventEnd());
  EXPECT_EQ(splitter.LastId(), 1U);
  splitter.DropPartial();
  EXPECT_EQ(splitter.Split("id: 2\n\n"), "id: 2\n\n");
}

TEST(TestEventSplitter, KeepsBytesThatAreNoEvent)
{
  event_splitter splitter;
  EXPECT_EQ(splitter.Split("plain bytes"), "");
  EXPECT_EQ(splitter.PartialBytes(), 11U);
  EXPECT_FALSE(splitter.IsAtEventEnd());
  EXPECT_FALSE(splitter.LastId());
  EXPECT_EQ(splitter.Split("\n\n"), "plain bytes\n\n");
}

// Guards against a stream that is held back until its end, and then counts as
// broken off, because its lines don't end in LF alone.
TEST(TestEventSplitter, SplitsAtEventsWhoseLinesEndInAnyWay)
{
  for (std::string const& end : { "\n", "\r\n", "\r" }) {
    std::string stream;
    for (char const* const line : { "id: 1", "data: a", "" })
      stream.append(line).append(end);
    std::size_t const firstEnd = stream.size();
    for (char const* const line : { "id: 2", "data: b", "" })
      stream.append(line).append(end);
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
      event_splitter splitter;
      std::string out = splitter.Split(stream.substr(0, cut));
      EXPECT_EQ(out.empty(), cut < firstEnd - (end == "\r\n" ? 1 : 0));
      out += splitter.Split(stream.substr(cut));
      EXPECT_EQ(out, stream);
      EXPECT_EQ(splitter.LastId(), 2U);
      EXPECT_TRUE(splitter.IsAtEventEnd());
    }
  }
}

}

}
