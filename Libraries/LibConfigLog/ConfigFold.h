#pragma once

#include <LibConfigLog/ConfigState.h>
#include <LibRecords/ConfigProposal.h>
#include <LibRecords/LogFold.h>

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// The operators' tables as a function of the log. Of proposals that change
/// the same row from the same version the first in log order wins.
class config_fold
{
public:
  using state = config_state;

  static constexpr std::string_view kSection = "config";

  /// The farthest that a proposal's last offset may lie beyond the offset
  /// where it lands, in offsets.
  static constexpr std::uint64_t kLongestWindow = 4096;

  /// Applies the next entry of the log; offsets must rise.
  void Apply(log_entry const& aEntry);

  /// The tables as of the last entry applied.
  [[nodiscard]] config_tables const& Tables() const noexcept
  {
    return mState.mTables;
  }

  /// What became of a proposal, or null when it didn't land within the last
  /// kLongestWindow offsets.
  [[nodiscard]] proposal_outcome const* FindOutcome(
    proposal_id const& aProposal) const;

  /// All of the fold, for a checkpoint.
  [[nodiscard]] config_state const& State() const noexcept { return mState; }

  /// Goes on from a checkpoint.
  void Restore(config_state aState) { mState = std::move(aState); }

private:
  void ApplyProposal(config_proposal const& aProposal, log_offset aOffset);
  void ForgetOldOutcomes(log_offset aOffset);

  config_state mState;
};

static_assert(log_fold<config_fold>);

}
