#include <LibPeer/SendQueue.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

encoded_frame
Frame(std::size_t aBytes)
{
  return std::make_shared<std::vector<std::uint8_t> const>(aBytes);
}

TEST(TestSendQueue, BoundHoldsUntilFramesAreWritten)
{
  send_queue queue{ 100 };
  EXPECT_EQ(queue.Push(Frame(60)), send_result::Queued);
  EXPECT_EQ(queue.Push(Frame(60)), send_result::QueueFull);
  EXPECT_EQ(queue.TakeBatch().size(), 1u);
  EXPECT_EQ(queue.Push(Frame(60)), send_result::QueueFull);
  queue.OnWritten();
  EXPECT_EQ(queue.Push(Frame(60)), send_result::Queued);
  EXPECT_EQ(queue.Bytes(), 60u);
}

TEST(TestSendQueue, KeepsTheOrderOverBatches)
{
  send_queue queue{ 1 << 20 };
  for (std::size_t i = 1; i <= 200; ++i)
    queue.Push(Frame(i));
  std::size_t expected = 1;
  for (auto batch = queue.TakeBatch(); !batch.empty();
       batch = queue.TakeBatch()) {
    for (encoded_frame const& frame : batch)
      EXPECT_EQ(frame->size(), expected++);
    queue.OnWritten();
  }
  EXPECT_EQ(expected, 201u);
  EXPECT_EQ(queue.Bytes(), 0u);
}

}
}
