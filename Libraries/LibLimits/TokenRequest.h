#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibRecords/SlotId.h>

#include <cstdint>

namespace lycheeseam {

/// A borrower's request for tokens of a slot, sent to the slot's holder.
struct token_request
{
  instance_identity mFrom;
  /// The borrower's number of the request; the answers repeat it.
  std::uint64_t mSequence = 0;
  workspace_id mWorkspace;
  slot_id mSlot;
  token_count mWanted = 0;
  /// How long the lender may queue the request until tokens accrue.
  duration mMaxQueueTime{ 0 };

  bool operator==(token_request const&) const = default;
};

}
