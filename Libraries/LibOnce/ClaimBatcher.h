#pragma once

#include <LibCore/InstanceIdentity.h>
#include <LibOnce/BatchLimits.h>
#include <LibRecords/LogEntry.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// Gathers claims and outcomes into few appends.
///
/// A claim is appended once: whether it landed is read from the log. An
/// outcome is appended until it is read back, since the fold takes it once.
class claim_batcher
{
public:
  claim_batcher(instance_identity aSelf, batch_limits aLimits);

  /// Adds a claim to the next append.
  void Add(instant aNow, request_claim aClaim);

  /// Adds an outcome; an answer that is too large is left out of it.
  void Add(instant aNow, request_outcome aOutcome);

  /// The records to append now. aTail is the newest offset known.
  std::vector<log_record> Due(instant aNow, log_offset aTail);

  /// Takes note of an entry that was read back.
  void OnEntry(log_entry const& aEntry);

  /// When Due has records next.
  [[nodiscard]] std::optional<instant> NextWake() const;

private:
  struct sent_outcomes
  {
    request_outcome_batch mBatch;
    instant mRetryAt;
  };

  record_origin NextOrigin(log_offset aTail);
  void CloseOutcomes(log_offset aTail, instant aNow);
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
  std::map<proposal_id, sent_outcomes> mSent;
};

}
