#include <LibTrace/SpanRing.h>
#include <LibTrace/TraceIdSource.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lycheeseam {
namespace {

trace_span
MakeSpan(std::uint8_t aTrace, int aStart)
{
  trace_span span;
  span.mTrace.mBytes[0] = aTrace;
  span.mStart += std::chrono::nanoseconds{ aStart };
  return span;
}

TEST(TestSpanRing, SortsSpansOfATraceByStart)
{
  span_ring ring{ 10 };
  ring.Add(MakeSpan(1, 5));
  ring.Add(MakeSpan(2, 1));
  ring.Add(MakeSpan(1, 2));
  std::vector<trace_span> const found = ring.Find(MakeSpan(1, 0).mTrace);
  ASSERT_EQ(found.size(), 2u);
  EXPECT_LT(found[0].mStart, found[1].mStart);
}

TEST(TestSpanRing, KeepsExactlyTheNewestSpans)
{
  EXPECT_TRUE(rc::check([](std::vector<std::uint8_t> const& aTraces) {
    constexpr std::size_t kCapacity = 7;
    span_ring ring{ kCapacity };
    for (std::uint8_t const trace : aTraces)
      ring.Add(MakeSpan(trace, 0));
    std::size_t const kept = std::min(kCapacity, aTraces.size());
    RC_ASSERT(ring.size() == kept);
    for (int trace = 0; trace < 256; ++trace) {
      std::uint8_t const id = static_cast<std::uint8_t>(trace);
      auto const expected = std::count(
        aTraces.end() - static_cast<std::ptrdiff_t>(kept), aTraces.end(), id);
      std::size_t const found = ring.Find(MakeSpan(id, 0).mTrace).size();
      RC_ASSERT(found == static_cast<std::size_t>(expected));
    }
  }));
}

}
}
