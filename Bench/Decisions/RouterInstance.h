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

/// A simulated instance: its view of the pool's servers and its placement and
/// admission decisions.
class router_instance
{
public:
  router_instance(std::size_t aServers,
                  std::size_t aFailureDomains,
                  std::uint32_t aWindow,
                  failure_domain aFailureDomain,
                  any_policy aPolicy);

  /// The pool's servers with this instance's view of their state.
  std::span<placement_candidate const> Candidates(instant aNow);

  /// True if a request could be placed now.
  bool HasEligible(instant aNow);

  std::optional<placement_choice> Choose(placement_request aRequest,
                                         instant aNow);

  /// Handles a load report from an incarnation of a server.
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
  /// The prefixes that this instance sent recently, for lookups whose
  /// answer is lost or empty.
  block_shard mRecent{ { .mEntries = kRecentEntries } };
  retry_budget mRetries;

private:
  std::uint32_t mWindow;
  failure_domain mFailureDomain;
  any_policy mPolicy;
  std::vector<server_view> mServers;
  std::vector<placement_candidate> mCandidates;
};

/// The id of the backend server with an index.
backend_server_id
ServerName(std::size_t aIndex);

/// The name of the failure domain with an index.
failure_domain
DomainName(std::size_t aIndex);

}
