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

/// The queue before one pool: deficit round robin over workspaces, higher
/// priority classes first, and a deadline for each request.
class fair_queue
{
public:
  explicit fair_queue(fair_queue_options aOptions = {});

  /// Sets a workspace's share beside the others'.
  void SetWeight(workspace_id const& aWorkspace, std::uint32_t aWeight);

  /// Adds a request, unless a bound says no. The ticket must be new.
  enqueue_result Enqueue(admission_request aRequest);

  /// Gives up what is past its deadline, then admits at most aFree requests.
  admission_batch Next(instant aNow, std::size_t aFree);

  /// Takes out a request whose caller has gone; false when it isn't here.
  bool Cancel(ticket aTicket);

  /// When Next must be called again even if nothing becomes free.
  [[nodiscard]] std::optional<instant> NextDeadline() const;

  /// How many requests wait.
  [[nodiscard]] std::size_t size() const noexcept { return mPlaces.size(); }

private:
  static constexpr std::size_t kClasses = 3;

  struct place
  {
    workspace_id mWorkspace;
    priority_class mPriority;
    instant mDeadline;
  };

  void Expire(instant aNow, admission_batch& aBatch);
  std::optional<ticket> AdmitOne();
  deficit_round_robin* PickClass();
  deficit_round_robin* FirstWaiting(std::size_t aFrom);
  void Forget(ticket aTicket);

  fair_queue_options mOptions;
  std::array<deficit_round_robin, kClasses> mClasses;
  deficit_round_robin::weight_map mWeights;
  std::unordered_map<ticket, place> mPlaces;
  std::unordered_map<workspace_id, std::size_t> mWaitingOf;
  std::set<std::pair<instant, ticket>> mDeadlines;
  /// Admissions since a lower class last had its turn.
  std::uint32_t mSinceLowerClass = 0;
};

}
