#pragma once

#include <LibFleet/RolloutStates.h>
#include <LibPeer/RolloutNotice.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// What the leader of rollouts has stored, and what it has still to store.
class rollout_ledger
{
public:
  /// Forgets what was stored, so that it is stored again.
  void Clear();

  /// A completion that counts once it is stored.
  void Hold(rollout_notice const& aNotice);

  /// A newer order replaces the one of the pool.
  void Drop(pool_name const& aPool) { mHeld.erase(aPool); }

  /// What is to be stored for a pool.
  [[nodiscard]] std::vector<rollout_notice> Wanted(
    rollout_states const& aStates,
    pool_name const& aPool) const;

  /// A pool whose states have changed since they were stored, if any.
  [[nodiscard]] std::optional<pool_name> NextPool(
    rollout_states const& aStates) const;

  /// The states of a pool are stored.
  void OnStored(pool_name const& aPool,
                std::span<rollout_notice const> aNotices);

  /// Takes the held completion of a pool if it is among what was stored.
  std::optional<rollout_notice> TakeHeld(
    pool_name const& aPool,
    std::span<rollout_notice const> aNotices);

  /// The status that is to be written next, if any.
  [[nodiscard]] std::optional<rollout_state> NextStatus() const;

  void QueueStatus(rollout_state const& aState) { mStatuses.push_back(aState); }

  /// The status is written.
  void OnStatus(rollout_state const& aState);

  /// True when the newest order of any pool hasn't ended.
  [[nodiscard]] bool HasRunning(rollout_states const& aStates) const;

private:
  /// Order and revision of each state.
  using step_list = std::vector<std::pair<std::uint64_t, std::uint64_t>>;

  static step_list StepsOf(std::span<rollout_notice const> aNotices);

  std::map<pool_name, rollout_notice> mHeld;
  std::map<pool_name, step_list> mStored;
  /// The state whose status was last written or queued.
  std::map<pool_name, rollout_state> mReported;
  std::deque<rollout_state> mStatuses;
};

}
