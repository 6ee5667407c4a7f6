#pragma once

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// The evidence that a part of prompts crashes servers.
struct part_crashes
{
  /// The part's key, as PartKeys returns it.
  std::uint64_t mPart = 0;
  /// How often an answer has cleared the part of all crashes before it.
  std::uint32_t mClearances = 0;
  /// Consecutive crashes since then: each of a request that was sent when the
  /// crash before it was known.
  std::uint32_t mCrashes = 0;
  /// The parts that all requests of these crashes had, this one included; empty
  /// without a crash.
  std::vector<std::uint64_t> mCommonParts;

  bool operator==(part_crashes const&) const = default;
};

}
