#include <LibTrace/SpanRing.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

span_ring::span_ring(std::size_t aCapacity)
  : mCapacity(std::max<std::size_t>(aCapacity, 1))
{
}

void
span_ring::Add(trace_span aSpan)
{
  if (mSpans.size() == mCapacity)
    DropOldest();
  std::uint64_t const number = mFirstNumber + mSpans.size();
  mNumbersByTrace[aSpan.mTrace].push_back(number);
  mSpans.push_back(std::move(aSpan));
}

std::vector<trace_span>
span_ring::Find(trace_id const& aTrace) const
{
  std::vector<trace_span> spans;
  auto const numbers = mNumbersByTrace.find(aTrace);
  if (numbers == mNumbersByTrace.end())
    return spans;
  for (std::uint64_t const number : numbers->second)
    spans.push_back(mSpans[number - mFirstNumber]);
  std::stable_sort(spans.begin(),
                   spans.end(),
                   [](trace_span const& aLeft, trace_span const& aRight) {
                     return aLeft.mStart < aRight.mStart;
                   });
  return spans;
}

void
span_ring::DropOldest()
{
  // The oldest span of the ring is also the oldest one of its trace.
  auto const numbers = mNumbersByTrace.find(mSpans.front().mTrace);
  numbers->second.pop_front();
  if (numbers->second.empty())
    mNumbersByTrace.erase(numbers);
  mSpans.pop_front();
  ++mFirstNumber;
}

}
