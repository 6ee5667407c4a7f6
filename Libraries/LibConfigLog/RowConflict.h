#pragma once

#include <LibConfig/RowReference.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A row that was changed since the author of a proposal saw it.
struct row_conflict
{
  row_reference mRow;
  /// The version that the author saw.
  row_version mBase;
  /// The version in force when the proposal landed.
  row_version mCurrent;

  bool operator==(row_conflict const&) const = default;
};

}
