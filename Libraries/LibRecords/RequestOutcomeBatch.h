#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/RequestOutcome.h>

#include <vector>

namespace lycheeseam {

/// A log record with one or more outcomes of one instance's claims, which share
/// an append.
struct request_outcome_batch
{
  record_origin mOrigin;
  /// Outcomes of claims of the origin's instance and incarnation. They never
  /// end claims of another instance or incarnation.
  std::vector<request_outcome> mOutcomes;

  bool operator==(request_outcome_batch const&) const = default;
};

}
