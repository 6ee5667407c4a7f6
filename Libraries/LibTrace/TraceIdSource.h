#pragma once

#include <LibTrace/SpanId.h>
#include <LibTrace/TraceId.h>

#include <cstdint>
#include <random>

namespace lycheeseam {

/// Generates random ids of traces and spans. Not thread-safe: each thread has
/// its own source.
template<std::uniform_random_bit_generator Random = std::mt19937_64>
class trace_id_source
{
public:
  explicit trace_id_source(Random aRandom)
    : mRandom(aRandom)
  {
  }

  /// A trace id that is unique with overwhelming probability, also across
  /// processes.
  trace_id NewTrace() { return New<trace_id>(); }

  /// A span id that is unique within its trace with overwhelming probability.
  span_id NewSpan() { return New<span_id>(); }

private:
  template<typename Id>
  Id New()
  {
    Id result;
    do {
      for (std::uint8_t& byte : result.mBytes)
        byte = static_cast<std::uint8_t>(mRandom());
    } while (result == Id{});
    return result;
  }

  Random mRandom;
};

}
