#pragma once

#include <LibAdmission/FairQueue.h>
#include <LibAdmission/RetryBudget.h>
#include <LibConfig/PoolRow.h>
#include <LibControl/AttemptResult.h>
#include <LibControl/ServerRuntime.h>
#include <LibPlacement/PlacementPolicy.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lycheeseam {

/// One pool as this instance runs it: the queue before it, and what is known
/// of its backend servers.
template<placement_policy Policy>
class pool_runtime
{
public:
  /// Takes the pool's row; servers that are gone get nothing from now on.
  void Update(pool_row const& aRow)
  {
    std::map<backend_server_id, server_runtime> next;
    for (backend_server const& server : aRow.mServers) {
      auto const known = mServers.find(server.mId);
      bool const isSame = known != mServers.end() &&
                          known->second.mRow.mAddress == server.mAddress;
      server_runtime runtime =
        isSame ? known->second : MakeServer(server, aRow.mMaxOutstanding);
      runtime.mRow = server;
      runtime.mWindow.SetLimit(aRow.mMaxOutstanding);
      next.emplace(server.mId, std::move(runtime));
    }
    mServers = std::move(next);
  }

  /// The queue before the pool.
  [[nodiscard]] fair_queue& Queue() noexcept { return mQueue; }
  [[nodiscard]] fair_queue const& Queue() const noexcept { return mQueue; }

  /// What retries may still be spent.
  [[nodiscard]] retry_budget& Retries() noexcept { return mRetries; }

  /// The placement policy, for what it learns from answers.
  [[nodiscard]] Policy& Placement() noexcept { return mPolicy; }

  /// Admits what the servers have room for, and gives up what waited too
  /// long.
  admission_batch Next(instant aNow) { return mQueue.Next(aNow, Room(aNow)); }

  /// Chooses a server other than the excluded ones; none when all are full,
  /// open or excluded.
  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::set<backend_server_id> const& aExcluded,
    instant aNow)
  {
    std::vector<placement_candidate> const candidates =
      Candidates(aExcluded, aNow);
    return mPolicy.Choose(aRequest, candidates, aNow);
  }

  /// The servers as the policy sees them.
  [[nodiscard]] std::vector<placement_candidate> Candidates(
    std::set<backend_server_id> const& aExcluded,
    instant aNow) const
  {
    std::vector<placement_candidate> candidates;
    candidates.reserve(mServers.size());
    for (auto const& [id, server] : mServers) {
      if (!aExcluded.contains(id))
        candidates.push_back(MakeCandidate(server, aNow));
    }
    return candidates;
  }

  /// The server's row, or null when it has left the pool.
  [[nodiscard]] backend_server const* Find(backend_server_id const& aId) const
  {
    auto const found = mServers.find(aId);
    return found == mServers.end() ? nullptr : &found->second.mRow;
  }

  /// An attempt starts on a server.
  void OnSent(backend_server_id const& aId, token_count aUncachedTokens)
  {
    auto const found = mServers.find(aId);
    if (found == mServers.end())
      return;
    // The choice saw room, and nothing ran in between on this thread.
    bool const acquired = found->second.mWindow.TryAcquire();
    static_cast<void>(acquired);
    found->second.mSentTokens += aUncachedTokens;
  }

  /// An attempt has ended on a server.
  void OnEnded(backend_server_id const& aId,
               attempt_result aResult,
               instant aNow)
  {
    auto const found = mServers.find(aId);
    if (found == mServers.end())
      return;
    server_runtime& server = found->second;
    if (server.mWindow.Outstanding() > 0)
      server.mWindow.Release();
    if (aResult == attempt_result::Answered)
      server.mBreaker.OnSuccess();
    if (aResult == attempt_result::Lost)
      server.mBreaker.OnFailure(aNow);
  }

  /// A server has reported its load.
  void OnLoad(backend_server_id const& aId,
              incarnation aIncarnation,
              server_load const& aLoad,
              instant aNow)
  {
    auto const found = mServers.find(aId);
    if (found == mServers.end())
      return;
    server_runtime& server = found->second;
    bool const isRestarted =
      server.mIncarnation.Value() != 0 && server.mIncarnation != aIncarnation;
    if (isRestarted) {
      server.mBreaker.OnRestart();
      server.mSlowStart.OnColdStart(aNow);
    }
    server.mIncarnation = aIncarnation;
    server.mLoad = aLoad;
    server.mSentTokens = 0;
  }

  /// Whether any server may be sent work now or later.
  [[nodiscard]] bool HasServers() const noexcept { return !mServers.empty(); }

private:
  static server_runtime MakeServer(backend_server const& aRow,
                                   std::uint32_t aWindow)
  {
    return server_runtime{ .mRow = aRow, .mWindow = server_window{ aWindow } };
  }

  static placement_candidate MakeCandidate(server_runtime const& aServer,
                                           instant aNow)
  {
    std::uint32_t const limit =
      aServer.mWindow.Outstanding() + aServer.mWindow.Free();
    double const share = aServer.mSlowStart.Share(aNow);
    return placement_candidate{
      .mServer = aServer.mRow.mId,
      .mIncarnation = aServer.mIncarnation,
      .mFailureDomain = aServer.mRow.mFailureDomain,
      .mLoad = aServer.mLoad,
      .mSentTokens = aServer.mSentTokens,
      .mOutstanding = aServer.mWindow.Outstanding(),
      .mWindow = static_cast<std::uint32_t>(std::ceil(share * limit)),
      .mBreaker = aServer.mBreaker.State(aNow),
    };
  }

  [[nodiscard]] std::size_t Room(instant aNow) const
  {
    std::size_t room = 0;
    for (auto const& [id, server] : mServers) {
      placement_candidate const candidate = MakeCandidate(server, aNow);
      if (!candidate.IsEligible())
        continue;
      bool const isProbe = candidate.mBreaker == breaker_state::HalfOpen;
      room += isProbe ? 1 : candidate.mWindow - candidate.mOutstanding;
    }
    return room;
  }

  fair_queue mQueue;
  retry_budget mRetries;
  Policy mPolicy;
  std::map<backend_server_id, server_runtime> mServers;
};

}
