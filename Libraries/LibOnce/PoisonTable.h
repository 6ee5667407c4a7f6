#pragma once

#include <LibCore/Instant.h>
#include <LibOnce/CrashReport.h>
#include <LibOnce/PoisonTiming.h>

#include <map>
#include <set>

namespace lycheeseam {

/// Which fingerprints were running when backend servers crashed. Every
/// instance keeps one from the reports of all.
class poison_table
{
public:
  /// The crashes after which a fingerprint is refused.
  static constexpr std::size_t kMostCrashes = 2;

  explicit poison_table(poison_timing aTiming)
    : mTiming(aTiming)
  {
  }

  /// Counts a crash against each fingerprint of the report, once however many
  /// report it.
  void OnCrash(instant aNow, crash_report const& aReport);

  /// The lives of servers that count against a fingerprint.
  [[nodiscard]] std::set<server_identity> Crashes(
    instant aNow,
    digest const& aFingerprint) const;

  /// Whether the fingerprint is refused everywhere.
  [[nodiscard]] bool IsRefused(instant aNow, digest const& aFingerprint) const
  {
    return Crashes(aNow, aFingerprint).size() >= kMostCrashes;
  }

  /// The fingerprint ran to its end as a suspect.
  void Clear(digest const& aFingerprint) { mSuspicions.erase(aFingerprint); }

  /// Forgets what no longer counts.
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
