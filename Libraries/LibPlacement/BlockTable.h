#pragma once

#include <LibPlacement/BlockEntry.h>

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace lycheeseam {

/// A bounded table of block entries. Each key has one bucket of a few places;
/// a full bucket gives up its oldest entry, so memory never grows.
class block_table
{
public:
  /// aEntries is how many entries are meant to fit with few lost.
  explicit block_table(std::size_t aEntries);

  /// The entry of a block on a numbered server, or null.
  [[nodiscard]] block_entry const* Find(block_hash aBlock,
                                        std::uint32_t aServerNumber) const;

  /// Adds an entry, or replaces the one with its key.
  void Put(block_entry aEntry);

  /// Drops an entry if it is there.
  void Erase(block_hash aBlock, std::uint32_t aServerNumber);

  /// The table's size in bytes; fixed from the start.
  [[nodiscard]] std::size_t Bytes() const;

private:
  static constexpr std::size_t kPlaces = 8;
  using bucket = std::array<block_entry, kPlaces>;

  [[nodiscard]] std::size_t BucketOf(block_hash aBlock,
                                     std::uint32_t aServerNumber) const;

  std::vector<bucket> mBuckets;
};

}
