#include <LibEvents/PipeAppender.h>

#include <gtest/gtest.h>
#include <log4cplus/logger.h>
#include <unistd.h>

#include <array>
#include <string>

namespace lycheeseam {
namespace {

class TestPipeAppender : public testing::Test
{
protected:
  void SetUp() override
  {
    ASSERT_EQ(::pipe(mPipe.data()), 0);
    mAppender = new pipe_appender{ mPipe[1] };
    mLogger.removeAllAppenders();
    mLogger.setAdditivity(false);
    mLogger.addAppender(log4cplus::SharedAppenderPtr{ mAppender });
  }

  void TearDown() override
  {
    mLogger.removeAllAppenders();
    ::close(mPipe[0]);
    ::close(mPipe[1]);
  }

  void Write(std::string const& aLine)
  {
    mLogger.log(log4cplus::INFO_LOG_LEVEL, aLine);
  }

  std::string Read()
  {
    std::array<char, 65'536> bytes{};
    ssize_t const count = ::read(mPipe[0], bytes.data(), bytes.size());
    return { bytes.data(), static_cast<std::size_t>(count) };
  }

  std::array<int, 2> mPipe{};
  pipe_appender* mAppender = nullptr;
  log4cplus::Logger mLogger =
    log4cplus::Logger::getInstance("TestPipeAppender");
};

TEST_F(TestPipeAppender, WritesALineWithoutBuffering)
{
  Write("first");
  EXPECT_EQ(Read(), "first\n");
  EXPECT_EQ(mAppender->TakeDropped(), 0u);
}

// Guards against lines that are dropped at a full pipe and reported to nobody:
// the count has to come from TakeDropped, once.
TEST_F(TestPipeAppender, CountsLinesDroppedAtAFullPipe)
{
  constexpr int kLinesBeyondPipeCapacity = 200;
  for (int line = 0; line < kLinesBeyondPipeCapacity; ++line)
    Write(std::string(1'000, 'x'));
  std::uint64_t const dropped = mAppender->TakeDropped();
  EXPECT_GT(dropped, 0u);
  EXPECT_LT(dropped, 200u);
  EXPECT_EQ(mAppender->TakeDropped(), 0u);
  Read();
  Write("next");
  EXPECT_EQ(mAppender->TakeDropped(), 0u);
}

}
}
