#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// A strongly typed name. Tag makes names of different things different types,
/// so that they can't be mixed up.
template<typename Tag>
class identifier
{
public:
  identifier() = default;
  explicit identifier(std::string aText)
    : mText(std::move(aText))
  {
  }
  explicit identifier(std::string_view aText)
    : mText(aText)
  {
  }
  explicit identifier(char const* aText)
    : mText(aText)
  {
  }

  /// The name as text.
  [[nodiscard]] std::string const& Text() const noexcept { return mText; }

  /// True for an identifier without text, such as a default-constructed one.
  [[nodiscard]] bool IsEmpty() const noexcept { return mText.empty(); }

  // "<" is rewritten to a comparison with 0, which the linter reports as a null
  // pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(identifier const&) const = default;

private:
  std::string mText;
};

}

template<typename Tag>
struct std::hash<lycheeseam::identifier<Tag>>
{
  std::size_t operator()(
    lycheeseam::identifier<Tag> const& aIdentifier) const noexcept
  {
    return std::hash<std::string>{}(aIdentifier.Text());
  }
};
