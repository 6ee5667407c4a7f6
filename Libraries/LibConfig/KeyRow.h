#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// A caller's key, known by its digest alone. Deleting the row withdraws it.
struct key_row
{
  digest mDigest;
  workspace_id mWorkspace;
  /// What operators call it; never the key itself.
  std::string mLabel;

  bool operator==(key_row const&) const = default;
};

}
