#include <LibPeer/SendQueue.h>

#include <utility>

namespace lycheeseam {

namespace {

// The most frames written together: one system call takes a limited number of
// buffers.
constexpr std::size_t kMaxBatchFrames = 64;

}

send_queue::send_queue(std::size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
}

send_result
send_queue::Push(encoded_frame aFrame)
{
  if (mBytes + aFrame->size() > mMaxBytes)
    return send_result::QueueFull;
  mBytes += aFrame->size();
  mFrames.push_back(std::move(aFrame));
  return send_result::Queued;
}

std::vector<encoded_frame>
send_queue::TakeBatch()
{
  std::vector<encoded_frame> batch;
  while (!mFrames.empty() && batch.size() < kMaxBatchFrames) {
    mBytesInWrite += mFrames.front()->size();
    batch.push_back(std::move(mFrames.front()));
    mFrames.pop_front();
  }
  return batch;
}

void
send_queue::OnWritten()
{
  mBytes -= std::exchange(mBytesInWrite, 0);
}

}
