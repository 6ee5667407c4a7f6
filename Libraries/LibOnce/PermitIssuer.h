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

/// Grants permits to run the fingerprints that this instance owns, so that no
/// request crashes more than two backend servers of the fleet. The crashes of a
/// fingerprint plus the servers that run it at the same time are at most two.
///
/// The fallback server of a fingerprint is the same for all instances. It may
/// run a fingerprint that is no suspect without a permit, when the owner does
/// not answer, so it always counts as running it. A suspect, a fingerprint that
/// ran on a server that crashed, runs on its fallback server only, and one
/// suspect at a time. One instance can ensure this, since all fingerprints with
/// the same fallback server have the same owner.
class permit_issuer
{
public:
  permit_issuer(instant aStartedAt, poison_timing aTiming)
    : mTiming(aTiming)
    , mStartedAt(aStartedAt)
  {
  }

  /// Records a request that is already running, under a permit of an earlier
  /// incarnation of this instance or of another owner.
  void OnAnnounced(permit_request const& aPermitRequest);

  /// Answers a permit request.
  permit_answer OnRequest(instant aNow,
                          permit_request const& aPermitRequest,
                          poison_table const& aTable);

  /// Takes a permit back. A suspect that completed is cleared in aTable; the
  /// returned message is to be sent to all instances.
  std::optional<suspicion_cleared> OnReturn(instant aNow,
                                            permit_return const& aPermitReturn,
                                            poison_table& aTable);

  /// Handles the crash of a server: ends the permits for it and counts the
  /// crash against their fingerprints, even if their senders failed before they
  /// reported it. Returns a report of the fingerprints that aReport lacks, to
  /// be sent to all instances, or nothing.
  std::optional<crash_report> OnCrash(instant aNow,
                                      crash_report const& aReport,
                                      poison_table& aTable);

  /// Keeps the permits of an ended incarnation for mOrphanTime, since a server
  /// may still be running their requests.
  void OnInstanceEnded(instant aNow, instance_identity const& aIdentity);

  /// Drops the orphaned permits whose time is over.
  void Expire(instant aNow);

private:
  struct permit
  {
    instance_identity mHolder;
    server_identity mServer;
    std::optional<instant> mOrphanedUntil;
  };

  using permits = std::map<request_id, permit>;

  /// Returns the servers of the other permits for the same fingerprint.
  [[nodiscard]] std::set<backend_server_id> OtherServers(
    permit_request const& aPermitRequest) const;
  [[nodiscard]] bool IsServerTakenBySuspect(
    instant aNow,
    permit_request const& aPermitRequest,
    poison_table const& aTable) const;
  [[nodiscard]] permit_decision Decide(instant aNow,
                                       permit_request const& aPermitRequest,
                                       poison_table const& aTable) const;

  poison_timing mTiming;
  instant mStartedAt;
  std::map<digest, permits> mRunning;
};

}
