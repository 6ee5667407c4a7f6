#pragma once

#include <LibCore/Instant.h>
#include <LibOnce/CrashReport.h>
#include <LibOnce/PoisonTiming.h>

#include <map>
#include <set>

namespace lycheeseam {

/// Records which fingerprints were running when backend servers crashed, to
/// refuse requests that crash servers. Every instance keeps one from the crash
/// reports of all instances.
class poison_table
{
public:
  /// The number of crashes at which a fingerprint is refused.
  static constexpr std::size_t kMaxCrashes = 2;

  explicit poison_table(poison_timing aTiming)
    : mTiming(aTiming)
  {
  }

  /// Counts a crash against each fingerprint of the report, once even if
  /// several instances report it.
  void OnCrash(instant aNow, crash_report const& aReport);

  /// Returns the crashed server incarnations that count against a fingerprint.
  [[nodiscard]] std::set<server_identity> Crashes(
    instant aNow,
    digest const& aFingerprint) const;

  /// Whether the fingerprint is refused on all servers.
  [[nodiscard]] bool IsRefused(instant aNow, digest const& aFingerprint) const
  {
    return Crashes(aNow, aFingerprint).size() >= kMaxCrashes;
  }

  /// Clears a fingerprint that completed as a suspect.
  void Clear(digest const& aFingerprint) { mSuspicions.erase(aFingerprint); }

  /// Drops the suspicions whose time is over.
  void Expire(instant aNow);

private:
  struct suspicion
  {
    std::set<server_identity> mCrashes;
    instant mUntil;
  };

  poison_timing mTiming;
  std::map<digest, suspicion> mSuspicions;
};

}
