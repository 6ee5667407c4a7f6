#pragma once

#include <LibAdmission/Ticket.h>

#include <vector>

namespace lycheeseam {

/// What one look at the queue decided, each list in the order of decisions.
struct admission_batch
{
  /// To be placed and sent now.
  std::vector<ticket> mAdmitted;
  /// Waited past their deadline; none of them has run.
  std::vector<ticket> mExpired;
};

}
