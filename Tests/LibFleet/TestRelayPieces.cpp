#include <LibFleet/RelayPieces.h>
#include <LibPeer/PeerCodec.h>
#include <LibStore/TopicState.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

store_position
At(std::uint64_t aOffset)
{
  return { store_era{ 1 }, aOffset };
}

std::vector<keyed_record>
Records(std::uint64_t aCount)
{
  constexpr std::size_t kEntryBytes = 250;
  std::vector<keyed_record> records;
  for (std::uint64_t at = 0; at < aCount; ++at)
    records.push_back({ .mPosition = At(2 * at),
                        .mKey = "engine-" + std::to_string(at),
                        .mValue = std::string(kEntryBytes, 'x') });
  return records;
}

// Guards against reports and configurations that wait for all servers to be
// sent.
TEST(TestRelayPieces, PiecesAreSmallAndLeaveNoGap)
{
  std::vector<keyed_record> const records = Records(3'000);
  std::vector<topic_relay> const pieces =
    MakeRelayPieces(store_topic::Servers, At(0), At(7'000), records);
  store_position next = At(0);
  std::vector<keyed_record> sent;
  for (topic_relay const& piece : pieces) {
    EXPECT_LE(EncodePeerMessage(fleet_message{ piece })->size(), 65'536U);
    EXPECT_EQ(piece.mFrom, next);
    next = piece.mEnd;
    for (keyed_record const& record : piece.mRecords) {
      EXPECT_LT(record.mPosition, piece.mEnd);
      sent.push_back(record);
    }
  }
  EXPECT_EQ(next, At(7'000));
  EXPECT_EQ(sent, records);
  EXPECT_GT(pieces.size(), 10U);
}

TEST(TestRelayPieces, ARangeWithoutRecordsIsOnePiece)
{
  EXPECT_EQ(MakeRelayPieces(store_topic::Servers, At(3), At(9), {}).size(), 1U);
}

// Guards against a server that stays in use at an instance that missed its
// deletion, which only a complete page showed.
TEST(TestRelayPieces, StateReturnsWhatChangedFromAPositionOn)
{
  topic_state state;
  std::vector<keyed_record> const records = Records(2);
  (void)state.Apply({ .mRecords = records, .mEnd = At(4) }, false);
  EXPECT_EQ(state.RecordsFrom(At(0)), records);
  EXPECT_EQ(state.RecordsFrom(At(1)).size(), 1U);
  (void)state.Apply({ .mRecords = { records[1] }, .mEnd = At(9) }, true);
  std::vector<keyed_record> const dropped{ { .mPosition = At(8),
                                             .mKey = "engine-0" } };
  EXPECT_EQ(state.RecordsFrom(At(5)), dropped);
}

}
}
