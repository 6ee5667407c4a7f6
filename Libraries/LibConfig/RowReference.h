#pragma once

#include <LibConfig/TableKind.h>

#include <string>

namespace lycheeseam {

/// Refers to a row of any table by name; a key's name is its digest in
/// hexadecimal.
struct row_reference
{
  table_kind mTable = table_kind::Routes;
  std::string mName;

  // The linter takes the 0 in the compiler's rewriting of "<" for a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(row_reference const&) const = default;
};

}
