#pragma once

#include <cstdint>

namespace lycheeseam {

/// How many budget slots the fleet has and among how many of them the tokens of
/// one workspace are divided. Every instance must use the same layout.
struct slot_layout
{
  /// Slots are numbered from 1 to mSlots.
  std::uint32_t mSlots = 8;
  /// The most slots that the tokens of one workspace are divided among.
  std::uint32_t mSlotsPerWorkspace = 8;

  bool operator==(slot_layout const&) const = default;
};

}
