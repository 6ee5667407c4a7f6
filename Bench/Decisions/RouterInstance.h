#pragma once

#include <LibAdmission/FairQueue.h>
#include <LibAdmission/RetryBudget.h>
#include <LibPlacement/BlockShard.h>

#include <Bench/Decisions/AnyPolicy.h>
#include <Bench/Decisions/ServerView.h>

#include <cstdint>
#include <span>
#include <vector>

namespace lycheeseam::bench {

/// One instance's own view of the pool, and its decisions.
class router_instance
{
public:
  router_instance(std::size_t aServers,
                  std::size_t aFailureDomains,
                  std::uint32_t aWindow,
                  failure_domain aFailureDomain,
                  any_policy aPolicy);

  /// The pool's servers as this instance sees them now.
  std::span<placement_candidate const> Candidates(instant aNow);

  /// True when a request could be placed now.
  bool HasEligible(instant aNow);

  std::optional<placement_choice> Choose(placement_request aRequest,
                                         instant aNow);

  /// A load report came, with the incarnation that sent it.
  void OnReport(std::size_t aServer,
                incarnation aIncarnation,
                server_load const& aLoad,
                instant aNow);

  void OnSent(std::size_t aServer, token_count aUncached, instant aNow);
  void OnAlive(std::size_t aServer);
  void OnEnd(std::size_t aServer);
  void OnFailure(std::size_t aServer, instant aNow);

  static constexpr std::size_t kRecentEntries = 16'000;

  [[nodiscard]] incarnation IncarnationOf(std::size_t aServer) const
  {
    return mServers[aServer].mIncarnation;
  }

  fair_queue mQueue;
  block_shard mShard;
  /// What this instance has sent lately itself, for lookups without an answer.
  block_shard mRecent{ { .mEntries = kRecentEntries } };
  retry_budget mRetries;

private:
  std::uint32_t mWindow;
  failure_domain mFailureDomain;
  any_policy mPolicy;
  std::vector<server_view> mServers;
  std::vector<placement_candidate> mCandidates;
};

/// A backend server's name in the bench.
backend_server_id
ServerName(std::size_t aIndex);

/// A failure domain's name in the bench.
failure_domain
DomainName(std::size_t aIndex);

}
