#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibRecords/SlotId.h>

#include <vector>

namespace lycheeseam {

/// An instance's answer to a quorum probe.
struct quorum_answer
{
  instance_identity mFrom;
  instance_identity mTo;
  /// When the probe was sent, by the clock of its sender: the answer is
  /// no older than that.
  instant mProbeSentAt;
  /// The slots that the instance holds and may lend from now.
  std::vector<slot_id> mSlots;
  /// Every entry up to here is folded.
  log_offset mFolded;
  /// The holders of slots, former ones included, that the instance has not
  /// heard for the silence bound although it has run that long.
  std::vector<instance_id> mSilent;

  bool operator==(quorum_answer const&) const = default;
};

}
