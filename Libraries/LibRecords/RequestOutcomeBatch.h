#pragma once

#include <LibRecords/RecordOrigin.h>
#include <LibRecords/RequestOutcome.h>

#include <vector>

namespace lycheeseam {

/// The outcomes of one instance's claims, several in one append.
struct request_outcome_batch
{
  record_origin mOrigin;
  /// Outcomes of claims of the batch's own instance and incarnation; others'
  /// claims are left alone.
  std::vector<request_outcome> mOutcomes;

  bool operator==(request_outcome_batch const&) const = default;
};

}
