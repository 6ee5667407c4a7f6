#pragma once

#include <LibCore/Verify.h>
#include <LibStore/StoreEra.h>

#include <compare>
#include <cstdint>

namespace lycheeseam {

/// The position of a record in a topic, over all eras: any position of a later
/// era comes after all of an earlier one.
class store_position
{
public:
  constexpr store_position() = default;
  constexpr store_position(store_era aEra, std::uint64_t aOffset)
    : mNumber((aEra.Value() << kOffsetBits) | aOffset)
  {
    VERIFY(aEra.Value() <= kMaxEra && aOffset <= kMaxOffset);
  }

  /// The position that Number() returns that number for.
  static constexpr store_position FromNumber(std::uint64_t aNumber)
  {
    store_position position;
    position.mNumber = aNumber;
    return position;
  }

  [[nodiscard]] constexpr store_era Era() const
  {
    return store_era{ mNumber >> kOffsetBits };
  }
  [[nodiscard]] constexpr std::uint64_t Offset() const
  {
    return mNumber & kMaxOffset;
  }

  /// A number that orders positions as the positions themselves are ordered; in
  /// the first era it is the offset.
  [[nodiscard]] constexpr std::uint64_t Number() const noexcept
  {
    return mNumber;
  }

  /// The position aRecords further on in the same era.
  [[nodiscard]] constexpr store_position Plus(std::uint64_t aRecords) const
  {
    return FromNumber(mNumber + aRecords);
  }

  constexpr std::strong_ordering operator<=>(store_position const& aOther) const
  {
    return mNumber <=> aOther.mNumber;
  }
  constexpr bool operator==(store_position const&) const = default;

  // A topic doesn't reach this offset in years, and JSON numbers hold 53 bits.
  static constexpr unsigned kOffsetBits = 40;
  static constexpr unsigned kEraBits = 13;
  static constexpr std::uint64_t kMaxOffset =
    (std::uint64_t{ 1 } << kOffsetBits) - 1;
  static constexpr std::uint64_t kMaxEra = (std::uint64_t{ 1 } << kEraBits) - 1;

private:
  std::uint64_t mNumber = 0;
};

}
