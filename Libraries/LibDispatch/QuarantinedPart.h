#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// A part of prompts that requests must not contain.
struct quarantined_part
{
  std::uint64_t mPart = 0;
  std::uint32_t mCrashes = 0;
  /// When one request may try the part again.
  instant mTrialAt{};
};

}
