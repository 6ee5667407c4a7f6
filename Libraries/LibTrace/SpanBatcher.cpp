#include <LibTrace/SpanBatcher.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

span_batcher::span_batcher(span_batch_options aOptions)
  : mOptions(aOptions)
{
}

void
span_batcher::Add(trace_span aSpan, instant aNow)
{
  if (mQueue.size() >= mOptions.mMaxQueuedSpans) {
    ++mDropped;
    return;
  }
  mQueue.push_back({ .mSpan = std::move(aSpan), .mQueuedAt = aNow });
}

std::vector<trace_span>
span_batcher::TakeBatch(instant aNow)
{
  std::vector<trace_span> batch;
  if (!IsDue(aNow))
    return batch;
  std::size_t const count = std::min(mQueue.size(), mOptions.mBatchSpans);
  for (std::size_t i = 0; i < count; ++i) {
    batch.push_back(std::move(mQueue.front().mSpan));
    mQueue.pop_front();
  }
  mIsExporting = true;
  return batch;
}

void
span_batcher::OnExported()
{
  mIsExporting = false;
  mBackoff = duration::zero();
}

void
span_batcher::OnFailed(std::size_t aFailedSpans, instant aNow)
{
  mIsExporting = false;
  mDropped += aFailedSpans;
  mBackoff =
    std::clamp(2 * mBackoff, mOptions.mMinBackoff, mOptions.mMaxBackoff);
  mNotBefore = aNow + mBackoff;
}

bool
span_batcher::IsDue(instant aNow) const
{
  if (mIsExporting || mQueue.empty() || aNow < mNotBefore)
    return false;
  return mQueue.size() >= mOptions.mBatchSpans ||
         aNow - mQueue.front().mQueuedAt >= mOptions.mMaxWait;
}

}
