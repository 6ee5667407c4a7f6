#pragma once

#include <LibCore/Digest.h>
#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam {

/// A caller's key. Only its digest is stored; deleting the row withdraws the
/// key.
struct key_row
{
  digest mDigest;
  workspace_id mWorkspace;
  /// The operators' name for the key; never the key itself.
  std::string mLabel;

  bool operator==(key_row const&) const = default;
};

}
