#pragma once

namespace lycheeseam {

/// How a read of the log ended.
enum class read_status
{
  /// The entries are complete from the offset asked for.
  Complete,
  /// The offset asked for is older than what the log keeps.
  BeforeRetention,
  /// The log can't be reached or refused to answer.
  Unavailable,
};

}
