#include <LibOrders/LeaseFold.h>
#include <LibRecords/LogFold.h>

namespace lycheeseam {

static_assert(log_fold<lease_fold>);

void
lease_fold::Apply(log_entry const& aEntry)
{
  lease_grant const* grant = std::get_if<lease_grant>(&aEntry.mRecord);
  if (grant == nullptr || aEntry.mOffset > grant->mOrigin.mLastOffset)
    return;
  lease const* const current = Find(grant->mPool);
  log_offset const currentGrant =
    current == nullptr ? log_offset{} : current->mGrant;
  // Of several candidates that replace the same grant, the first in the log
  // wins.
  if (grant->mBase != currentGrant)
    return;
  mLeases[grant->mPool] = { .mHolder = { .mInstance = grant->mOrigin.mInstance,
                                         .mIncarnation =
                                           grant->mOrigin.mIncarnation },
                            .mProposal = grant->mOrigin.mProposal,
                            .mGrant = aEntry.mOffset,
                            .mTerm = grant->mTerm };
}

lease const*
lease_fold::Find(pool_name const& aPool) const
{
  auto const found = mLeases.find(aPool);
  return found == mLeases.end() ? nullptr : &found->second;
}

}
