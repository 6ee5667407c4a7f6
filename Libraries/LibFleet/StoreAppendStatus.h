#pragma once

namespace lycheeseam {

/// How an append to the store ended.
enum class store_append_status
{
  Done,
  /// The topic doesn't end at the offset that the append required.
  Conflict,
  /// Nothing was appended.
  Refused,
  /// No answer: the record may have been appended, or may be later.
  Unknown,
};

}
