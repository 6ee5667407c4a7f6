#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibOnce/BatchLimits.h>
#include <LibRecords/LogEntry.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Batches claims and outcomes into few log appends.
///
/// A claim is appended once, and the log shows whether it landed. An outcome is
/// appended again until it is read back, since the fold applies it only once.
class claim_batcher
{
public:
  claim_batcher(instance_identity aSelf, batch_limits aLimits);

  /// Adds a claim to the next append.
  void Add(instant aNow, request_claim aClaim);

  /// Adds an outcome to the next append, without its answer if that exceeds
  /// mMaxBodyBytes.
  void Add(instant aNow, request_outcome aOutcome);

  /// Returns the records to append now. aTail is the newest known offset.
  std::vector<log_record> Due(instant aNow, log_offset aTail);

  /// Stops repeating the outcomes of an entry that was read back.
  void OnEntry(log_entry const& aEntry);

  /// Returns the time at which Due has records next.
  [[nodiscard]] std::optional<instant> NextWake() const;

private:
  struct unconfirmed_outcomes
  {
    request_outcome_batch mBatch;
    instant mRetryAt;
  };

  record_origin NextOrigin(log_offset aTail);
  void SealOutcomes(log_offset aTail, instant aNow);
  [[nodiscard]] bool IsDue(instant aNow,
                           std::optional<instant> const& aSince,
                           std::size_t aEntries) const;

  instance_identity mSelf;
  batch_limits mLimits;
  std::uint64_t mBatches = 0;
  std::vector<request_claim> mClaims;
  std::optional<instant> mClaimsSince;
  std::vector<request_outcome> mOutcomes;
  std::size_t mOutcomeBytes = 0;
  std::optional<instant> mOutcomesSince;
  std::map<proposal_id, unconfirmed_outcomes> mUnconfirmed;
};

}
