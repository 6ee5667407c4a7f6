#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Bounds on knowledge of backend servers.
struct backend_membership_options
{
  /// A server that reported before and is silent for this long gets nothing
  /// new: it may have left or died.
  duration mReportTimeout = std::chrono::milliseconds{ 2500 };
};

}
