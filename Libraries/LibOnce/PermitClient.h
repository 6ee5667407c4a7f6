#pragma once

#include <LibOnce/PermitAnswer.h>
#include <LibOnce/PermitReturn.h>
#include <LibOnce/PoisonTable.h>
#include <LibOnce/RunDecision.h>
#include <LibOnce/RunRequest.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Requests permits for this instance's requests from the fingerprints' owners,
/// and records which server runs each request, to report it to all instances
/// when the server crashes.
class permit_client
{
public:
  explicit permit_client(poison_timing aTiming)
    : mTiming(aTiming)
  {
  }

  /// Requests a permit for a new request; TakeDecisions returns its decision.
  void Begin(instant aNow,
             run_request const& aRequest,
             poison_table const& aTable);

  /// Handles the answer of a fingerprint's owner.
  void OnAnswer(instant aNow,
                permit_answer const& aAnswer,
                poison_table const& aTable);

  /// Records how a request that was decided to run on a server ended.
  void End(request_id const& aRequest, run_result aResult);

  /// Returns the running requests, to announce them to an owner that has
  /// restarted.
  [[nodiscard]] std::vector<permit_request> Running() const;

  /// Sends again or decides the requests whose waiting time is over.
  void Tick(instant aNow, poison_table const& aTable);

  /// Returns the time at which Tick has work next.
  [[nodiscard]] std::optional<instant> NextWake() const;

  /// Returns the permit requests made since the last call, to send to the
  /// fingerprints' owners.
  [[nodiscard]] std::vector<permit_request> TakePermitRequests();

  /// Returns the permit returns made since the last call, to send to the same
  /// owners.
  [[nodiscard]] std::vector<permit_return> TakePermitReturns();

  /// Returns the crash reports made since the last call, to send at once to all
  /// instances, including this one.
  [[nodiscard]] std::vector<crash_report> TakeCrashReports();

  /// Returns the decisions made since the last call.
  [[nodiscard]] std::vector<run_decision> TakeDecisions();

private:
  struct pending_request
  {
    run_request mRequest;
    instant mWakeAt;
    bool mIsAnswered = false;
  };

  void RequestPermit(instant aNow, pending_request& aPending);
  void Decide(run_request const& aRequest,
              std::optional<server_identity> aServer);
  [[nodiscard]] bool Wake(instant aNow,
                          pending_request& aPending,
                          poison_table const& aTable);

  poison_timing mTiming;
  std::map<request_id, pending_request> mPending;
  std::map<request_id, permit_request> mRunning;
  std::vector<permit_request> mPermitRequests;
  std::vector<permit_return> mPermitReturns;
  std::vector<crash_report> mCrashReports;
  std::vector<run_decision> mDecisions;
};

}
