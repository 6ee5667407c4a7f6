#pragma once

#include <LibCore/Identifiers.h>

#include <vector>

namespace lycheeseam {

/// The instance that holds a slot according to the log.
struct slot_holder
{
  /// How many former holders are kept at most; the earliest is dropped first.
  static constexpr std::size_t kMaxFormerHolders = 8;

  instance_id mInstance;
  incarnation mIncarnation;
  /// The log offset of the holder's claim; a later claim has a larger one.
  log_offset mClaim;
  /// Instances that held the slot before, the latest last, each once. Earlier
  /// incarnations of the holder are included under its own id.
  std::vector<instance_id> mFormerHolders;

  bool operator==(slot_holder const&) const = default;
};

}
