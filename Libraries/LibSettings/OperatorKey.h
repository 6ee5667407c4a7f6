#pragma once

#include <LibCore/Digest.h>

#include <string>

namespace lycheeseam {

/// An operator who may use the admin API, and the digest of the operator's key.
struct operator_key
{
  std::string mName;
  digest mDigest;

  bool operator==(operator_key const&) const = default;
};

}
