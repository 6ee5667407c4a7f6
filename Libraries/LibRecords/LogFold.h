#pragma once

#include <LibRecords/LogEntry.h>

namespace lycheeseam {

/// State that is a deterministic function of the log: every instance that
/// applied the same entries in order holds the same value. A fold ignores
/// the kinds of record that are not its own.
template<typename Fold>
concept log_fold = requires(Fold& aFold, log_entry const& aEntry)
{
  aFold.Apply(aEntry);
};

}
