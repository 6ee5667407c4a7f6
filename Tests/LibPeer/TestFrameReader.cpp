#include <LibPeer/FrameHeader.h>
#include <LibPeer/FrameReader.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lycheeseam {
namespace {

using bytes = std::vector<std::uint8_t>;

constexpr std::size_t kMaxBytes = 64;

void
AppendFrame(bytes& aStream, bytes const& aContent)
{
  auto const header =
    EncodeFrameHeader(static_cast<std::uint32_t>(aContent.size()));
  aStream.insert(aStream.end(), header.begin(), header.end());
  aStream.insert(aStream.end(), aContent.begin(), aContent.end());
}

std::vector<bytes>
ReadAll(frame_reader& aReader)
{
  std::vector<bytes> frames;
  while (auto const frame = aReader.Next())
    frames.emplace_back(frame->begin(), frame->end());
  return frames;
}

TEST(TestFrameReader, ReadsTheSameFramesFromAnyChunks)
{
  EXPECT_TRUE(rc::check([]() {
    // A container that isn't empty has up to one item more than the size.
    auto const content = rc::gen::resize(static_cast<int>(kMaxBytes) - 1,
                                         rc::gen::nonEmpty<bytes>());
    auto const frames = *rc::gen::container<std::vector<bytes>>(content);
    bytes stream;
    for (bytes const& frame : frames)
      AppendFrame(stream, frame);
    frame_reader reader{ kMaxBytes };
    std::vector<bytes> found;
    std::span<std::uint8_t const> rest{ stream };
    while (!rest.empty()) {
      std::size_t const chunk = *rc::gen::inRange<std::size_t>(1, 20);
      std::size_t const length = std::min(chunk, rest.size());
      reader.Append(rest.first(length));
      rest = rest.subspan(length);
      for (bytes& frame : ReadAll(reader))
        found.push_back(std::move(frame));
    }
    RC_ASSERT(found == frames);
    RC_ASSERT(reader.Fault() == frame_fault::None);
  }));
}

TEST(TestFrameReader, ArbitraryBytesNeverYieldAFrameBeyondTheLimit)
{
  EXPECT_TRUE(rc::check([](std::vector<bytes> const& aChunks) {
    frame_reader reader{ kMaxBytes };
    for (bytes const& chunk : aChunks) {
      reader.Append(chunk);
      for (bytes const& frame : ReadAll(reader))
        RC_ASSERT(!frame.empty() && frame.size() <= kMaxBytes);
    }
  }));
}

TEST(TestFrameReader, StopsAtTheFirstFault)
{
  bytes stream;
  AppendFrame(stream, bytes(3, 1));
  AppendFrame(stream, bytes(kMaxBytes + 1, 2));
  AppendFrame(stream, bytes(3, 3));
  frame_reader reader{ kMaxBytes };
  reader.Append(stream);
  EXPECT_EQ(ReadAll(reader).size(), 1u);
  EXPECT_EQ(reader.Fault(), frame_fault::Oversized);
  reader.Append(stream);
  EXPECT_TRUE(ReadAll(reader).empty());
}

TEST(TestFrameReader, RefusesEmptyFrames)
{
  frame_reader reader{ kMaxBytes };
  reader.Append(bytes(kFrameHeaderBytes, 0));
  EXPECT_FALSE(reader.Next().has_value());
  EXPECT_EQ(reader.Fault(), frame_fault::Empty);
}

}
}
