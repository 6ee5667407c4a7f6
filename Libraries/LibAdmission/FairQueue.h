#pragma once

#include <LibAdmission/AdmissionBatch.h>
#include <LibAdmission/AdmissionRequest.h>
#include <LibAdmission/DeficitRoundRobin.h>
#include <LibAdmission/EnqueueResult.h>
#include <LibAdmission/FairQueueOptions.h>

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace lycheeseam {

/// The admission queue of one pool. Higher priority classes are served first;
/// within a class, workspaces share the tokens by deficit round robin. Requests
/// expire at their deadlines.
class fair_queue
{
public:
  explicit fair_queue(fair_queue_options aOptions = {});

  /// Sets a workspace's weight relative to the others; the default is 1, and 0
  /// counts as 1.
  void SetWeight(workspace_id const& aWorkspace, std::uint32_t aWeight);

  /// Adds a request unless a limit is reached. Its ticket must not be queued
  /// yet.
  enqueue_result Enqueue(admission_request aRequest);

  /// Removes expired requests, then admits at most aFree requests.
  admission_batch Next(instant aNow, std::size_t aFree);

  /// Removes a request, as when its caller has disconnected; false when it
  /// isn't queued.
  bool Cancel(ticket aTicket);

  /// When Next must be called again even if no capacity becomes free; nothing
  /// when no request waits.
  [[nodiscard]] std::optional<instant> NextDeadline() const;

  /// How many requests wait.
  [[nodiscard]] std::size_t size() const noexcept { return mRequests.size(); }

private:
  /// Number of values of priority_class, which are the indices of mClasses.
  static constexpr std::size_t kClassCount = 3;

  struct waiting_request
  {
    workspace_id mWorkspace;
    priority_class mPriority;
    instant mDeadline;
  };

  void Expire(instant aNow, admission_batch& aBatch);
  std::optional<ticket> AdmitOne();
  deficit_round_robin* PickClass();
  deficit_round_robin* FirstNonEmptyClass(std::size_t aFrom);
  void Erase(ticket aTicket);

  fair_queue_options mOptions;
  std::array<deficit_round_robin, kClassCount> mClasses;
  deficit_round_robin::weight_map mWeights;
  std::unordered_map<ticket, waiting_request> mRequests;
  std::unordered_map<workspace_id, std::size_t> mWaitingByWorkspace;
  std::set<std::pair<instant, ticket>> mDeadlines;
  /// Admissions from a higher class while a lower class waited, counted since
  /// the lower classes last got their one in mLowerClassInterval.
  std::uint32_t mSinceLowerClass = 0;
};

}
