#pragma once

#include <LibAdmission/Ticket.h>

#include <vector>

namespace lycheeseam {

/// The decisions of one call of fair_queue::Next, each list in the order in
/// which they were made.
struct admission_batch
{
  /// Requests to send to backend servers now.
  std::vector<ticket> mAdmitted;
  /// Requests whose deadline passed in the queue; none of them has run.
  std::vector<ticket> mExpired;
};

}
