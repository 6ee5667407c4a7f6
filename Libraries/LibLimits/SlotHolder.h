#pragma once

#include <LibCore/Identifiers.h>

#include <vector>

namespace lycheeseam {

/// The instance that a record of the log made the holder of a slot.
struct slot_holder
{
  /// The most former holders that are remembered.
  static constexpr std::size_t kMostFormer = 8;

  instance_id mInstance;
  incarnation mIncarnation;
  /// The offset of the claim; a later claim has a larger one.
  log_offset mClaim;
  /// Instances that held the slot before, the latest last, each once. The
  /// holder's own earlier lives are among them.
  std::vector<instance_id> mFormer;

  bool operator==(slot_holder const&) const = default;
};

}
