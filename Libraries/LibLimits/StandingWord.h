#pragma once

#include <LibCore/InstanceLife.h>
#include <LibCore/Instant.h>
#include <LibRecords/SlotId.h>

#include <vector>

namespace lycheeseam {

/// An instance's answer to a standing probe.
struct standing_word
{
  instance_life mFrom;
  instance_life mTo;
  /// When the probe was sent, by the clock of its sender: the word is no
  /// older than that.
  instant mProbeSentAt;
  /// The slots that the instance holds and may lend from now.
  std::vector<slot_id> mSlots;
  /// Every entry up to here is folded.
  log_offset mFolded;
  /// The holders of slots, former ones included, that the instance has not
  /// heard for the silence bound although it has run that long.
  std::vector<instance_id> mSilent;

  bool operator==(standing_word const&) const = default;
};

}
