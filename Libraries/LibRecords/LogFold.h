#pragma once

#include <LibRecords/LogEntry.h>

namespace lycheeseam {

/// State that is a deterministic function of the log: every instance that has
/// applied the same entries in order has the same state. A fold ignores the
/// types of record that it doesn't use.
template<typename Fold>
concept log_fold = requires(Fold& aFold, log_entry const& aEntry)
{
  aFold.Apply(aEntry);
};

}
