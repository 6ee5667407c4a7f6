#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A row with the offset of the log record that last wrote it.
template<typename Row>
struct versioned
{
  Row mRow;
  row_version mVersion;

  bool operator==(versioned const&) const = default;
};

}
