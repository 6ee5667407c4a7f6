#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibCore/Instant.h>
#include <LibRecords/ProposalId.h>

namespace lycheeseam {

/// The grant under which orders may be given to one pool's engines.
struct lease
{
  instance_identity mHolder;
  proposal_id mProposal;
  /// The grant's offset: the fencing number of its orders.
  log_offset mGrant;
  duration mTerm{ 0 };

  bool operator==(lease const&) const = default;
};

}
