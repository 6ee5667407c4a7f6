#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibRecords/SlotId.h>

#include <cstdint>

namespace lycheeseam {

/// A borrower asks a home slot for tokens.
struct token_request
{
  instance_identity mFrom;
  /// The borrower's number of the ask; the answers repeat it.
  std::uint64_t mSequence = 0;
  workspace_id mWorkspace;
  slot_id mSlot;
  token_count mWanted = 0;
  /// How long the ask may wait at the home for tokens to accrue.
  duration mPatience{ 0 };

  bool operator==(token_request const&) const = default;
};

}
