#include <LibOnce/PoisonTable.h>

namespace lycheeseam {

void
poison_table::OnCrash(instant aNow, crash_report const& aReport)
{
  for (digest const& fingerprint : aReport.mFingerprints) {
    suspicion& known = mSuspicions[fingerprint];
    if (aNow >= known.mUntil)
      known.mCrashes.clear();
    known.mCrashes.insert(aReport.mServer);
    bool const isRefused = known.mCrashes.size() >= kMaxCrashes;
    known.mUntil =
      aNow + (isRefused ? mTiming.mRefuseTime : mTiming.mSuspectTime);
  }
}

std::set<server_identity>
poison_table::Crashes(instant aNow, digest const& aFingerprint) const
{
  auto const found = mSuspicions.find(aFingerprint);
  if (found == mSuspicions.end() || aNow >= found->second.mUntil)
    return {};
  return found->second.mCrashes;
}

void
poison_table::Expire(instant aNow)
{
  std::erase_if(mSuspicions, [aNow](auto const& aEntry) {
    return aNow >= aEntry.second.mUntil;
  });
}

}
