#pragma once

namespace lycheeseam {

/// How a read of the log ended.
enum class read_status
{
  /// The entries start at the requested offset and have no gaps.
  Complete,
  /// The requested offset is before the retained range.
  BeforeRetention,
  /// The log is unreachable or gave no valid answer.
  Unavailable,
};

}
