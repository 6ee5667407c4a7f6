#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibDispatch/ReadyInstance.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Chooses the peer over which an instance that is cut off from the backend
/// servers reaches one. Peers that opened a tunnel lately come first, in turn;
/// then those that haven't failed lately. While few have opened one, others are
/// tried in between: a single peer that stops would take all tunnels along.
/// Peers in a planned stop are asked when no other one is left. Runs on the
/// traffic thread.
class tunnel_peers
{
public:
  explicit tunnel_peers(instance_id aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// Takes over the ready instances, and those in a planned stop.
  void Update(std::span<ready_instance const> aReady,
              std::span<ready_instance const> aStopping = {});

  /// The peer to ask next, apart from those in aTried; null when none is left.
  [[nodiscard]] ready_instance const* Choose(
    instant aNow,
    std::set<instance_id> const& aTried);

  /// The number of peers that may open tunnels.
  [[nodiscard]] std::size_t Count() const noexcept
  {
    return mPeers.size() + mStopping.size();
  }

  /// The peer opened a tunnel.
  void OnOpened(instant aNow, instance_id const& aPeer);

  /// The peer didn't answer, or opens no tunnels now.
  void OnFailed(instant aNow, instance_id const& aPeer);

private:
  // A peer that is cut off itself may be so for seconds, or become a way again
  // at any moment.
  static constexpr std::chrono::seconds kFailureLifetime{ 1 };
  static constexpr std::chrono::seconds kSuccessLifetime{ 2 };
  // With this many peers in use, the loss of one leaves most tunnels working.
  static constexpr std::size_t kWantedPeers = 3;

  enum class experience
  {
    Opened,
    Unknown,
    Failed,
  };

  [[nodiscard]] experience ExperienceWith(instant aNow,
                                          instance_id const& aPeer) const;

  // True when the next request is to try a peer that hasn't opened a tunnel
  // lately.
  [[nodiscard]] bool IsNewPeerDue(instant aNow);

  instance_id mSelf;
  // The next of aPeers by turns with that experience; null for none.
  ready_instance const* Next(instant aNow,
                             std::span<ready_instance const> aPeers,
                             std::set<instance_id> const& aTried,
                             experience aWanted);

  std::vector<ready_instance> mPeers;
  std::vector<ready_instance> mStopping;
  std::map<instance_id, instant> mOpenedAt;
  std::map<instance_id, instant> mFailedAt;
  /// Where the next search starts, so that peers are used in turn.
  std::size_t mNext = 0;
  /// Requests that chose their first peer while few had opened a tunnel.
  std::uint32_t mChoices = 0;
};

}
