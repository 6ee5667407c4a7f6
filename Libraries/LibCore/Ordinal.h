#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace lycheeseam {

/// A strongly typed counter. Tag makes counters of different things different
/// types, so that they can't be mixed up.
template<typename Tag>
class ordinal
{
public:
  constexpr ordinal() = default;
  constexpr explicit ordinal(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  /// The counter's value.
  [[nodiscard]] constexpr std::uint64_t Value() const noexcept
  {
    return mValue;
  }

  /// Returns the next ordinal.
  [[nodiscard]] constexpr ordinal Next() const noexcept
  {
    return ordinal{ mValue + 1 };
  }

  // Not defaulted, because the linter reports a defaulted one as a use of a
  // null pointer.
  constexpr std::strong_ordering operator<=>(ordinal const& aOther) const
  {
    return mValue <=> aOther.mValue;
  }
  constexpr bool operator==(ordinal const&) const = default;

private:
  std::uint64_t mValue = 0;
};

}

template<typename Tag>
struct std::hash<lycheeseam::ordinal<Tag>>
{
  std::size_t operator()(lycheeseam::ordinal<Tag> aOrdinal) const noexcept
  {
    return std::hash<std::uint64_t>{}(aOrdinal.Value());
  }
};
