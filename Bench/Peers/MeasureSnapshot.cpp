#include <LibCodec/ConfigCheckpoint.h>
#include <LibCodec/FoldSet.h>
#include <LibCodec/RecordCodec.h>
#include <LibPeer/FrameHeader.h>
#include <LibPeer/PeerCodec.h>

#include <Bench/Peers/MakeRecords.h>
#include <Bench/Peers/MeasureSnapshot.h>
#include <Bench/Peers/ProcessorTime.h>

#include <span>
#include <string>

namespace lycheeseam::bench {

namespace {

using config_set = fold_set<config_fold>;

// Adds measurements of one size to a list.
class measurement_recorder
{
public:
  measurement_recorder(std::string aSizeOf,
                       std::size_t aSize,
                       std::vector<measurement>& aMeasurements)
    : mSizeOf(std::move(aSizeOf))
    , mSize(aSize)
    , mMeasurements(aMeasurements)
  {
  }

  void Add(std::string aName, double aValue, std::string aUnit)
  {
    mMeasurements.push_back({ .mName = std::move(aName),
                              .mSizeOf = mSizeOf,
                              .mSize = mSize,
                              .mValue = aValue,
                              .mUnit = std::move(aUnit) });
  }

private:
  std::string mSizeOf;
  std::size_t mSize;
  std::vector<measurement>& mMeasurements;
};

std::span<std::uint8_t const>
ContentOf(encoded_frame const& aFrame)
{
  return std::span{ *aFrame }.subspan(kFrameHeaderBytes);
}

void
MeasureState(std::size_t aPercent, std::vector<measurement>& aMeasurements)
{
  std::vector<log_entry> const entries = MakeRecords(aPercent);
  config_set state;
  for (log_entry const& entry : entries)
    state.Apply(entry);
  measurement_recorder recorder{ "% of rows", aPercent, aMeasurements };
  std::string const text = state.Save();
  snapshot_answer const answer{ .mOffset = state.Offset(), .mState = text };
  encoded_frame const frame = EncodePeerMessage(answer);
  recorder.Add("rows", static_cast<double>(entries.size()), "rows");
  recorder.Add("snapshot frame", static_cast<double>(frame->size()), "B");
  recorder.Add("snapshot saved and framed",
               MicrosecondsPerCall([&]() {
                 EncodePeerMessage(snapshot_answer{ .mState = state.Save() });
               }),
               "us processor");
  recorder.Add("snapshot decoded and loaded",
               MicrosecondsPerCall([&]() {
                 std::optional<peer_message> const message =
                   DecodePeerMessage(ContentOf(frame));
                 config_set loaded;
                 loaded.Load(log_offset{ entries.size() },
                             std::get<snapshot_answer>(*message).mState);
               }),
               "us processor");
  recorder.Add("rows folded from the log, each",
               MicrosecondsPerCall([&]() {
                 config_set folded;
                 for (log_entry const& entry : entries)
                   folded.Apply(entry);
               }) /
                 static_cast<double>(entries.size()),
               "us processor");
}

log_relay
MakeRelay(std::size_t aEntries, log_entry const& aEntry)
{
  log_relay relay;
  for (std::size_t i = 0; i < aEntries; ++i)
    relay.mEntries.push_back({ .mOffset = log_offset{ i + 1 },
                               .mRecord = EncodeRecord(aEntry.mRecord) });
  return relay;
}

void
MeasureRelay(std::size_t aEntries, std::vector<measurement>& aMeasurements)
{
  // The last record adds a key, which is the most frequent change.
  log_entry const entry = MakeRecords(1).back();
  log_relay const relay = MakeRelay(aEntries, entry);
  encoded_frame const frame = EncodePeerMessage(relay);
  double const entries = static_cast<double>(aEntries);
  measurement_recorder recorder{ "entries a frame", aEntries, aMeasurements };
  recorder.Add(
    "relayed entry (a key)", static_cast<double>(frame->size()) / entries, "B");
  recorder.Add("entry framed, once for all links",
               MicrosecondsPerCall([&]() { EncodePeerMessage(relay); }) /
                 entries,
               "us processor");
  recorder.Add("entry unframed and its record decoded",
               MicrosecondsPerCall([&]() {
                 std::optional<peer_message> const message =
                   DecodePeerMessage(ContentOf(frame));
                 for (relayed_entry const& one :
                      std::get<log_relay>(*message).mEntries)
                   DecodeRecord(one.mRecord);
               }) /
                 entries,
               "us processor");
}

// A change of a pool contains all of the pool's servers.
void
MeasurePoolChange(std::size_t aPercent, std::vector<measurement>& aMeasurements)
{
  for (log_entry const& entry : MakeRecords(aPercent)) {
    config_proposal const& proposal = std::get<config_proposal>(entry.mRecord);
    pool_change const* const change =
      std::get_if<pool_change>(&proposal.mChanges.front());
    if (!change)
      continue;
    measurement_recorder recorder{ "servers",
                                   change->mRow->mServers.size(),
                                   aMeasurements };
    std::string const text = EncodeRecord(entry.mRecord);
    recorder.Add("record of a pool", static_cast<double>(text.size()), "B");
    recorder.Add("record of a pool decoded",
                 MicrosecondsPerCall([&]() { DecodeRecord(text); }),
                 "us processor");
    return;
  }
}

}

std::vector<measurement>
MeasureSnapshot()
{
  std::vector<measurement> measurements;
  for (std::size_t const percent : { 10, 30, 100 })
    MeasureState(percent, measurements);
  for (std::size_t const percent : { 10, 30, 100 })
    MeasurePoolChange(percent, measurements);
  for (std::size_t const entries : { 1, 16, 256 })
    MeasureRelay(entries, measurements);
  return measurements;
}

}
