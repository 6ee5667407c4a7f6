#pragma once

#include <LibCore/Digest.h>

#include <optional>
#include <string>
#include <unordered_map>

namespace lycheeseam {

/// Finds operators by the digests of their keys.
class operator_directory
{
public:
  /// Adds an operator.
  void Add(digest const& aKey, std::string aName)
  {
    mNames.insert_or_assign(aKey, std::move(aName));
  }

  /// The name of the operator with that key, or nothing.
  [[nodiscard]] std::optional<std::string> Find(digest const& aKey) const
  {
    auto const found = mNames.find(aKey);
    if (found == mNames.end())
      return std::nullopt;
    return found->second;
  }

private:
  std::unordered_map<digest, std::string> mNames;
};

}
