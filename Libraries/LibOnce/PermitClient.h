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

/// Asks for permits for this instance's requests and keeps what runs on which
/// server, to report it to all instances when the server crashes.
class permit_client
{
public:
  explicit permit_client(poison_timing aTiming)
    : mTiming(aTiming)
  {
  }

  /// A request wants to run; its decision comes through TakeDecisions.
  void Begin(instant aNow,
             run_request const& aRequest,
             poison_table const& aTable);

  /// The home has answered.
  void OnAnswer(instant aNow,
                permit_answer const& aAnswer,
                poison_table const& aTable);

  /// A request that was told to run has ended.
  void End(request_id const& aRequest, run_result aResult);

  /// What runs here, to announce it to a home that has started anew.
  [[nodiscard]] std::vector<permit_request> Running() const;

  /// Does what is due.
  void Tick(instant aNow, poison_table const& aTable);

  /// When Tick has work next.
  [[nodiscard]] std::optional<instant> NextWake() const;

  /// Asks to send to the homes of their fallback servers, taken once.
  [[nodiscard]] std::vector<permit_request> TakeAsks();

  /// Ends to send to the same homes, taken once.
  [[nodiscard]] std::vector<permit_return> TakeEnds();

  /// Crashes to tell all instances, this one too, at once; taken once.
  [[nodiscard]] std::vector<crash_report> TakeReports();

  /// Decisions, taken once.
  [[nodiscard]] std::vector<run_decision> TakeDecisions();

private:
  struct asking_request
  {
    run_request mRequest;
    instant mWakeAt;
    bool mIsAnswered = false;
  };

  void Ask(instant aNow, asking_request& aAsking);
  void Decide(run_request const& aRequest,
              std::optional<server_identity> aServer);
  [[nodiscard]] bool Wake(instant aNow,
                          asking_request& aAsking,
                          poison_table const& aTable);

  poison_timing mTiming;
  std::map<request_id, asking_request> mAsking;
  std::map<request_id, permit_request> mRunning;
  std::vector<permit_request> mAsks;
  std::vector<permit_return> mEnds;
  std::vector<crash_report> mReports;
  std::vector<run_decision> mDecisions;
};

}
