#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibRecords/SlotId.h>

#include <vector>

namespace lycheeseam {

/// An instance's answer to a quorum probe: the slots it may lend from, how far
/// it has folded the log and which slot holders it finds unresponsive.
struct quorum_answer
{
  instance_identity mFrom;
  instance_identity mTo;
  /// When the probe was sent, by its sender's clock. The answer is no older.
  instant mProbeSentAt;
  /// The slots that the answering instance holds and may lend from now.
  std::vector<slot_id> mSlots;
  /// Every entry up to here is folded.
  log_offset mFolded;
  /// Present and former slot holders from which the answering instance received
  /// nothing for mUnresponsiveAfter, although it observed all that time.
  std::vector<instance_id> mUnresponsive;

  bool operator==(quorum_answer const&) const = default;
};

}
