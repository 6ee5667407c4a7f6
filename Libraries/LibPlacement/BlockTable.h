#pragma once

#include <LibPlacement/BlockEntry.h>

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace lycheeseam {

/// A hash table of block entries with a fixed size. Each key belongs to one
/// bucket of a few entries; a full bucket evicts its oldest entry.
class block_table
{
public:
  /// aEntries is the number of entries that fit with few evictions.
  explicit block_table(std::size_t aEntries);

  /// The entry of a block for a server number, or null.
  [[nodiscard]] block_entry const* Find(block_hash aBlock,
                                        std::uint32_t aServerNumber) const;

  /// Adds an entry, or replaces the one with its key.
  void Put(block_entry aEntry);

  /// Removes the entry with that key, if any.
  void Erase(block_hash aBlock, std::uint32_t aServerNumber);

  /// The table's size in bytes, which never changes.
  [[nodiscard]] std::size_t Bytes() const;

private:
  static constexpr std::size_t kEntriesPerBucket = 8;
  using bucket = std::array<block_entry, kEntriesPerBucket>;

  [[nodiscard]] std::size_t BucketOf(block_hash aBlock,
                                     std::uint32_t aServerNumber) const;

  std::vector<bucket> mBuckets;
};

}
