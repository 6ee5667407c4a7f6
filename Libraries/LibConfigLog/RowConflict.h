#pragma once

#include <LibConfig/RowReference.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A row that was changed after the author of a proposal read it.
struct row_conflict
{
  row_reference mRow;
  /// The version that the author read; 0 when there was no row.
  row_version mBase;
  /// The version in force at the proposal's offset; 0 when there is no row.
  row_version mCurrent;

  bool operator==(row_conflict const&) const = default;
};

}
