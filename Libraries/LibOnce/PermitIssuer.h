#pragma once

#include <LibOnce/PermitAnswer.h>
#include <LibOnce/PermitRequest.h>
#include <LibOnce/PermitReturn.h>
#include <LibOnce/PoisonTable.h>
#include <LibOnce/SuspicionCleared.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheeseam {

/// Grants permits to run the fingerprints whose home this instance is, so that
/// the crashes of a fingerprint and the servers that run it at one time are
/// never more than two together, over the whole fleet.
///
/// One server, the fallback, is the same for all instances and may run an
/// unsuspected fingerprint without a permit, when the home does not answer; it
/// is always counted. A suspect runs on its fallback only, and one suspect at
/// a time: all fingerprints of one fallback share a home.
class permit_issuer
{
public:
  permit_issuer(instant aStartedAt, poison_timing aTiming)
    : mTiming(aTiming)
    , mStartedAt(aStartedAt)
  {
  }

  /// An instance runs a request already, under a permit of this home's earlier
  /// life or of another home.
  void OnAnnounced(permit_request const& aAsk);

  /// Answers an ask.
  permit_answer OnAsk(instant aNow,
                      permit_request const& aAsk,
                      poison_table const& aTable);

  /// Takes a permit back. A suspect that completed is cleared in the table;
  /// the result is to be told to all instances.
  std::optional<suspicion_cleared> OnEnd(instant aNow,
                                         permit_return const& aEnd,
                                         poison_table& aTable);

  /// A server crashed. What had permits for it counts as having run there,
  /// whether or not its sender lives to tell; the permits are over. Returns
  /// what to tell all instances beyond the report, if anything.
  std::optional<crash_report> OnCrash(instant aNow,
                                      crash_report const& aReport,
                                      poison_table& aTable);

  /// The lives of instances that are over leave their permits running for a
  /// while: a server may still be at work for them.
  void OnInstanceGone(instant aNow, instance_identity const& aIdentity);

  /// Drops the permits whose time is over.
  void Expire(instant aNow);

private:
  struct permit
  {
    instance_identity mOwner;
    server_identity mServer;
    std::optional<instant> mOrphanedUntil;
  };

  using permits = std::map<request_id, permit>;

  /// The servers of the other permits for the same fingerprint.
  [[nodiscard]] std::set<backend_server_id> Occupied(
    permit_request const& aAsk) const;
  [[nodiscard]] bool IsServerTakenBySuspect(instant aNow,
                                            permit_request const& aAsk,
                                            poison_table const& aTable) const;
  [[nodiscard]] permit_decision Decide(instant aNow,
                                       permit_request const& aAsk,
                                       poison_table const& aTable) const;

  poison_timing mTiming;
  instant mStartedAt;
  std::map<digest, permits> mRunning;
};

}
