#pragma once

namespace lycheeseam {

/// What an author knows about an append.
enum class append_status
{
  /// The record has an offset.
  Accepted,
  /// The record surely never reached the log.
  NotSent,
  /// The answer was lost: the record may be in the log, or land later.
  Unknown,
};

}
