#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ProposalOutcome.h>

#include <deque>

namespace lycheeseam {

/// Everything that the fold of the configuration knows; a checkpoint's part.
struct config_state
{
  config_tables mTables;
  /// Outcomes of proposals whose doubles may still land, in log order.
  std::deque<proposal_outcome> mRecent;

  bool operator==(config_state const&) const = default;
};

}
