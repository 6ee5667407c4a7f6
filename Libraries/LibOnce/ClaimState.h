#pragma once

#include <LibOnce/ClaimEntry.h>
#include <LibRecords/RequestKey.h>

#include <vector>

namespace lycheeseam {

/// A claim with the key of its request.
struct kept_claim
{
  request_key mKey;
  claim_entry mEntry;

  bool operator==(kept_claim const&) const = default;
};

/// A released claim, with the offset of its release.
struct kept_release
{
  log_offset mOffset;
  claim_identity mClaim;

  bool operator==(kept_release const&) const = default;
};

/// The complete state of claim_fold, for checkpoints and snapshots.
struct claim_state
{
  std::vector<kept_claim> mClaims;
  std::vector<kept_release> mReleases;

  bool operator==(claim_state const&) const = default;
};

}
