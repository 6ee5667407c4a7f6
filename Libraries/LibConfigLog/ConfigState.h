#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ProposalOutcome.h>

#include <deque>

namespace lycheeseam {

/// The complete state of config_fold, which a checkpoint stores.
struct config_state
{
  config_tables mTables;
  /// Outcomes of proposals whose last offsets lie at most
  /// config_fold::kOutcomeRetention back, in the order of those offsets.
  std::deque<proposal_outcome> mRecentOutcomes;

  bool operator==(config_state const&) const = default;
};

}
