#pragma once

namespace lycheeseam {

/// What the answer to an append call shows about the record.
enum class append_status
{
  /// The log has stored the record and given it an offset.
  Accepted,
  /// The request was not sent, so the record is not in the log.
  NotSent,
  /// No valid answer arrived: the record may be in the log, or be stored later.
  Unknown,
};

}
