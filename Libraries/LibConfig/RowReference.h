#pragma once

#include <LibConfig/TableKind.h>

#include <string>

namespace lycheeseam {

/// Names a row of any table; a key's name is its digest in hexadecimal.
struct row_reference
{
  table_kind mTable = table_kind::Routes;
  std::string mName;

  // The linter takes the zero that "<" is rewritten with for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(row_reference const&) const = default;
};

}
