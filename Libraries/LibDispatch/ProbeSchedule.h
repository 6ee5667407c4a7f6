#pragma once

#include <LibDispatch/TrackedServer.h>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <span>

namespace lycheeseam {

/// Decides when an instance asks a server for its load, and which one. The
/// random choice lets the instances of a fleet, which know much the same, ask
/// different servers.
class probe_schedule
{
public:
  explicit probe_schedule(std::uint64_t aSeed)
    : mRandom(static_cast<std::minstd_rand::result_type>(aSeed))
  {
  }

  /// A request was sent to a server of the pool.
  void OnSent(pool_name const& aPool);

  /// The server of an adaptive pool to probe now, or null. The probe counts as
  /// running until OnEnd().
  [[nodiscard]] tracked_server* Choose(
    instant aNow,
    pool_name const& aPool,
    std::span<tracked_server* const> aServers);

  /// A probe of the server was answered, or given up.
  void OnEnd(backend_server_id const& aServer) { mRunning.erase(aServer); }

private:
  // True when knowing more of the pool's load is worth a probe.
  [[nodiscard]] static bool IsWorthwhile(
    instant aNow,
    std::span<tracked_server* const> aServers);
  [[nodiscard]] bool IsCandidate(instant aNow,
                                 tracked_server const& aServer) const;
  void Refill(instant aNow);

  std::minstd_rand mRandom;
  /// Probes that may be sent now, by the rate of this instance.
  double mAvailable = 0;
  instant mRefilledAt{};
  /// Requests sent to each pool for which no probe was sent yet.
  std::map<pool_name, std::uint32_t> mUnprobed;
  /// The servers that are being probed.
  std::set<backend_server_id> mRunning;
};

}
