#pragma once

namespace lycheeseam {

/// How an append to the store ended.
enum class store_append_status
{
  Done,
  /// The topic doesn't end where the append was to stand.
  Conflict,
  /// Nothing was appended.
  Refused,
  /// No answer: it may have been appended, or may be later.
  Unknown,
};

}
