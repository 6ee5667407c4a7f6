#pragma once

#include <cstdint>

namespace lycheeseam {

/// How many budget slots the fleet has and how many of them are homes of one
/// workspace. Every instance must run with the same layout.
struct slot_layout
{
  /// Slots are numbered from 1 to this.
  std::uint32_t mSlots = 8;
  /// The most homes of one workspace.
  std::uint32_t mHomes = 8;

  bool operator==(slot_layout const&) const = default;
};

}
