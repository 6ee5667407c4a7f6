#include <LibFleet/RelayPieces.h>

#include <cstddef>

namespace lycheeseam {

namespace {

constexpr std::size_t kMaxPieceBytes = 64'000;

// What a record adds to an encoded relay: its text, and at most so many bytes
// of offsets, lengths and padding.
std::size_t
EncodedBytes(keyed_record const& aRecord)
{
  constexpr std::size_t kOverhead = 64;
  return aRecord.mKey.size() + (aRecord.mValue ? aRecord.mValue->size() : 0) +
         kOverhead;
}

}

std::vector<topic_relay>
MakeRelayPieces(store_topic aTopic,
                store_position aFrom,
                store_position aEnd,
                std::span<keyed_record const> aRecords)
{
  std::vector<topic_relay> pieces{ { .mTopic = aTopic, .mFrom = aFrom } };
  std::size_t bytes = 0;
  for (keyed_record const& record : aRecords) {
    topic_relay& piece = pieces.back();
    std::size_t const added = EncodedBytes(record);
    // Two deletions that one page shows have the same position, and a range
    // can't end between them.
    bool const isDivisible = !piece.mRecords.empty() &&
                             piece.mRecords.back().mPosition < record.mPosition;
    if (isDivisible && bytes + added > kMaxPieceBytes) {
      piece.mEnd = record.mPosition;
      pieces.push_back({ .mTopic = aTopic, .mFrom = record.mPosition });
      bytes = 0;
    }
    pieces.back().mRecords.push_back(record);
    bytes += added;
  }
  pieces.back().mEnd = aEnd;
  return pieces;
}

}
