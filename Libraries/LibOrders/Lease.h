#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibRecords/ProposalId.h>

namespace lycheeseam {

/// The right of one instance to give orders to the engines of a pool, until its
/// term ends.
struct lease
{
  instance_identity mHolder;
  proposal_id mProposal;
  /// The log offset of the grant, which is the fencing number of its orders.
  log_offset mGrant;
  duration mTerm{ 0 };

  bool operator==(lease const&) const = default;
};

}
