#pragma once

#include <LibConfigLog/ConfigState.h>
#include <LibRecords/ConfigProposal.h>
#include <LibRecords/LogFold.h>

#include <cstdint>
#include <string_view>

namespace lycheeseam {

/// Folds the log into the operators' tables. Each proposal is accepted or
/// refused as a whole. Of several proposals that change the same row from the
/// same version, the first in log order wins.
class config_fold
{
public:
  using state = config_state;

  static constexpr std::string_view kSection = "config";

  /// The most that a proposal's last offset may lie beyond the proposal's own
  /// offset, in offsets. It bounds how long outcomes are kept.
  static constexpr std::uint64_t kMaxLastOffsetLead = 4096;

  /// How far past its proposal's last offset an outcome is kept, in offsets,
  /// for authors that skip entries by loading a checkpoint.
  static constexpr std::uint64_t kOutcomeRetention = 4096;

  /// Applies the next entry of the log; its offset must exceed the last one.
  void Apply(log_entry const& aEntry);

  /// The tables as of the last entry applied.
  [[nodiscard]] config_tables const& Tables() const noexcept
  {
    return mState.mTables;
  }

  /// Returns the outcome of a proposal; null when it hasn't entered the log by
  /// its last offset, or when that offset lies more than kOutcomeRetention
  /// back.
  [[nodiscard]] proposal_outcome const* FindOutcome(
    proposal_id const& aProposal) const;

  /// The complete state of the fold, for a checkpoint.
  [[nodiscard]] config_state const& State() const noexcept { return mState; }

  /// Replaces the state by that of a checkpoint.
  void Restore(config_state aState) { mState = std::move(aState); }

private:
  void ApplyProposal(config_proposal const& aProposal, log_offset aOffset);
  proposal_outcome Decide(config_proposal const& aProposal, log_offset aOffset);
  void KeepOutcome(proposal_outcome aOutcome);
  void DiscardOldOutcomes(log_offset aOffset);

  config_state mState;
};

static_assert(log_fold<config_fold>);

}
