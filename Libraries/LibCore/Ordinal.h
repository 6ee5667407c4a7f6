#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace lycheeseam {

/// A counter whose type says what it counts; Tag keeps the kinds apart.
template<typename Tag>
class ordinal
{
public:
  constexpr ordinal() = default;
  constexpr explicit ordinal(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  /// The count itself.
  [[nodiscard]] constexpr std::uint64_t Value() const noexcept
  {
    return mValue;
  }

  /// The ordinal that follows this one.
  [[nodiscard]] constexpr ordinal Next() const noexcept
  {
    return ordinal{ mValue + 1 };
  }

  // Spelled out: the linter takes a defaulted one for a null pointer.
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
