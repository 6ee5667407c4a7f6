#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Time limits of backend_membership.
struct backend_membership_options
{
  /// A server that has reported before and sends no report for this long gets
  /// no new requests, since it may have left or crashed.
  duration mReportTimeout = std::chrono::milliseconds{ 2500 };
};

}
