#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheeseam {

/// A place in a JSON text while it is read. A path refers to its parent, so
/// it must not outlive it; the text is only made when there is a fault.
class json_path
{
public:
  /// The whole text.
  json_path() = default;

  /// A field of the object at this path.
  [[nodiscard]] json_path Field(std::string_view aName) const noexcept
  {
    return json_path{ this, aName, 0 };
  }

  /// An element of the array at this path.
  [[nodiscard]] json_path Element(std::size_t aIndex) const noexcept
  {
    return json_path{ this, {}, aIndex };
  }

  /// The path as text, such as "$.pools[0].name".
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
