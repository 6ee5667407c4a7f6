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

/// This instance's state of one pool: its queue, its retry budget and the state
/// of its backend servers.
template<placement_policy Policy>
class pool_runtime
{
public:
  /// Applies the pool's row. Removed servers get no more requests; a server
  /// whose address is unchanged keeps its state.
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

  /// The requests that wait for the pool.
  [[nodiscard]] fair_queue& Queue() noexcept { return mQueue; }
  [[nodiscard]] fair_queue const& Queue() const noexcept { return mQueue; }

  /// The budget that limits the share of retries.
  [[nodiscard]] retry_budget& Retries() noexcept { return mRetries; }

  /// The placement policy, so that answers can update its state.
  [[nodiscard]] Policy& Placement() noexcept { return mPolicy; }

  /// Admits as many queued requests as the servers have capacity for, and
  /// expires those whose deadline has passed.
  admission_batch Next(instant aNow)
  {
    return mQueue.Next(aNow, FreeCapacity(aNow));
  }

  /// Chooses a server other than the excluded ones; none when each one is full,
  /// excluded or has an open circuit breaker.
  std::optional<placement_choice> Choose(
    placement_request const& aRequest,
    std::set<backend_server_id> const& aExcluded,
    instant aNow)
  {
    std::vector<placement_candidate> const candidates =
      Candidates(aExcluded, aNow);
    return mPolicy.Choose(aRequest, candidates, aNow);
  }

  /// The servers, without the excluded ones, as input to the policy.
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

  /// Returns the server's row, or null when it was removed from the pool.
  [[nodiscard]] backend_server const* Find(backend_server_id const& aId) const
  {
    auto const found = mServers.find(aId);
    return found == mServers.end() ? nullptr : &found->second.mRow;
  }

  /// Records that an attempt was sent to a server.
  void OnSent(backend_server_id const& aId, token_count aUncachedTokens)
  {
    auto const found = mServers.find(aId);
    if (found == mServers.end())
      return;
    // This can't fail: Choose found free capacity, and nothing else has run on
    // this thread since.
    bool const acquired = found->second.mWindow.TryAcquire();
    static_cast<void>(acquired);
    found->second.mSentTokens += aUncachedTokens;
  }

  /// Records the end of an attempt on a server.
  void OnEnded(backend_server_id const& aId,
               attempt_result aResult,
               instant aNow)
  {
    auto const found = mServers.find(aId);
    if (found == mServers.end())
      return;
    server_runtime& server = found->second;
    // The window may be empty if the server was removed and added again, or its
    // address changed, while the attempt ran.
    if (server.mWindow.Outstanding() > 0)
      server.mWindow.Release();
    if (aResult == attempt_result::Answered)
      server.mBreaker.OnSuccess();
    if (aResult == attempt_result::Failed)
      server.mBreaker.OnFailure(aNow);
  }

  /// Records a server's load report. A new incarnation closes the server's
  /// circuit breaker and starts its slow start.
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

  /// Whether the pool has any servers.
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

  [[nodiscard]] std::size_t FreeCapacity(instant aNow) const
  {
    std::size_t capacity = 0;
    for (auto const& [id, server] : mServers) {
      placement_candidate const candidate = MakeCandidate(server, aNow);
      if (!candidate.IsEligible())
        continue;
      bool const isProbe = candidate.mBreaker == breaker_state::HalfOpen;
      capacity += isProbe ? 1 : candidate.mWindow - candidate.mOutstanding;
    }
    return capacity;
  }

  fair_queue mQueue;
  retry_budget mRetries;
  Policy mPolicy;
  std::map<backend_server_id, server_runtime> mServers;
};

}
