#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// A name whose type says what it names; Tag keeps the kinds apart.
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

  /// True for a default-constructed identifier, which names nothing.
  [[nodiscard]] bool IsEmpty() const noexcept { return mText.empty(); }

  // The linter takes the zero that "<" is rewritten with for a pointer.
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
