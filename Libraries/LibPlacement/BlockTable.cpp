#include <LibPlacement/BlockTable.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// The planned number of used entries per bucket. With about two thirds in use,
// few buckets overflow.
constexpr std::size_t kPlannedPerBucket = 5;

// An odd constant with well-mixed bits (2^64 divided by the golden ratio).
constexpr std::uint64_t kServerMix = 0x9E3779B97F4A7C15;

bool
HasKey(block_entry const& aEntry,
       block_hash aBlock,
       std::uint32_t aServerNumber)
{
  return aEntry.mBlock == aBlock && aEntry.mServerNumber == aServerNumber;
}

/// Orders empty entries before all others, then older before newer.
bool
IsEvictedBefore(block_entry const& aLeft, block_entry const& aRight)
{
  if ((aLeft.mServerNumber == 0) != (aRight.mServerNumber == 0))
    return aLeft.mServerNumber == 0;
  return aLeft.mConfirmedTick < aRight.mConfirmedTick;
}

}

block_table::block_table(std::size_t aEntries)
  : mBuckets(aEntries / kPlannedPerBucket + 1)
{
}

block_entry const*
block_table::Find(block_hash aBlock, std::uint32_t aServerNumber) const
{
  for (block_entry const& entry : mBuckets[BucketOf(aBlock, aServerNumber)]) {
    if (HasKey(entry, aBlock, aServerNumber))
      return &entry;
  }
  return nullptr;
}

void
block_table::Put(block_entry aEntry)
{
  bucket& entries = mBuckets[BucketOf(aEntry.mBlock, aEntry.mServerNumber)];
  auto replaced = std::ranges::find_if(entries, [&](block_entry const& aOther) {
    return HasKey(aOther, aEntry.mBlock, aEntry.mServerNumber);
  });
  if (replaced == entries.end())
    replaced = std::ranges::min_element(entries, IsEvictedBefore);
  *replaced = aEntry;
}

void
block_table::Erase(block_hash aBlock, std::uint32_t aServerNumber)
{
  for (block_entry& entry : mBuckets[BucketOf(aBlock, aServerNumber)]) {
    if (HasKey(entry, aBlock, aServerNumber))
      entry = block_entry{};
  }
}

std::size_t
block_table::Bytes() const
{
  return mBuckets.size() * sizeof(bucket);
}

std::size_t
block_table::BucketOf(block_hash aBlock, std::uint32_t aServerNumber) const
{
  std::uint64_t const mixed =
    (aBlock.Value() ^ (aServerNumber * kServerMix)) * kServerMix;
  // Multiplying the high half by the count maps evenly without a division.
  return static_cast<std::size_t>((mixed >> 32U) * mBuckets.size() >> 32U);
}

}
