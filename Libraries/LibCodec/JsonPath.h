#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheeseam {

/// The path to a value in a JSON text, for error messages. A path refers to its
/// parent and must not outlive it; its text is made only for an error.
class json_path
{
public:
  /// The path of the root value.
  json_path() = default;

  /// Returns the path of a field of the object at this path.
  [[nodiscard]] json_path Field(std::string_view aName) const noexcept
  {
    return json_path{ this, aName, 0 };
  }

  /// Returns the path of an element of the array at this path.
  [[nodiscard]] json_path Element(std::size_t aIndex) const noexcept
  {
    return json_path{ this, {}, aIndex };
  }

  /// Returns the path as text, such as "$.pools[0].name".
  [[nodiscard]] std::string Text() const
  {
    if (!mParent)
      return "$";
    if (mName.empty())
      return mParent->Text() + "[" + std::to_string(mIndex) + "]";
    return mParent->Text() + "." + std::string{ mName };
  }

private:
  json_path(json_path const* aParent,
            std::string_view aName,
            std::size_t aIndex) noexcept
    : mParent(aParent)
    , mName(aName)
    , mIndex(aIndex)
  {
  }

  json_path const* mParent = nullptr;
  std::string_view mName;
  std::size_t mIndex = 0;
};

}
