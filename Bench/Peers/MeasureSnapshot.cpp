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

// Notes figures of one size.
class size_notes
{
public:
  size_notes(std::string aSizeOf,
             std::size_t aSize,
             std::vector<measurement>& aFound)
    : mSizeOf(std::move(aSizeOf))
    , mSize(aSize)
    , mFound(aFound)
  {
  }

  void Add(std::string aName, double aValue, std::string aUnit)
  {
    mFound.push_back({ .mName = std::move(aName),
                       .mSizeOf = mSizeOf,
                       .mSize = mSize,
                       .mValue = aValue,
                       .mUnit = std::move(aUnit) });
  }

private:
  std::string mSizeOf;
  std::size_t mSize;
  std::vector<measurement>& mFound;
};

std::span<std::uint8_t const>
ContentOf(encoded_frame const& aFrame)
{
  return std::span{ *aFrame }.subspan(kFrameHeaderBytes);
}

void
MeasureState(std::size_t aPercent, std::vector<measurement>& aFound)
{
  std::vector<log_entry> const entries = MakeRecords(aPercent);
  config_set state;
  for (log_entry const& entry : entries)
    state.Apply(entry);
  size_notes notes{ "% of rows", aPercent, aFound };
  std::string const text = state.Save();
  snapshot_answer const answer{ .mOffset = state.Offset(), .mState = text };
  encoded_frame const frame = EncodePeerMessage(answer);
  notes.Add("rows", static_cast<double>(entries.size()), "rows");
  notes.Add("snapshot frame", static_cast<double>(frame->size()), "B");
  notes.Add("snapshot saved and framed",
            MicrosecondsPerCall([&]() {
              EncodePeerMessage(snapshot_answer{ .mState = state.Save() });
            }),
            "us processor");
  notes.Add("snapshot decoded and loaded",
            MicrosecondsPerCall([&]() {
              std::optional<peer_message> const message =
                DecodePeerMessage(ContentOf(frame));
              config_set loaded;
              loaded.Load(log_offset{ entries.size() },
                          std::get<snapshot_answer>(*message).mState);
            }),
            "us processor");
  notes.Add("rows folded from the log, each",
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
MeasureRelay(std::size_t aEntries, std::vector<measurement>& aFound)
{
  // The last record gives a key, the commonest change.
  log_entry const entry = MakeRecords(1).back();
  log_relay const relay = MakeRelay(aEntries, entry);
  encoded_frame const frame = EncodePeerMessage(relay);
  double const entries = static_cast<double>(aEntries);
  size_notes notes{ "entries a frame", aEntries, aFound };
  notes.Add(
    "relayed entry (a key)", static_cast<double>(frame->size()) / entries, "B");
  notes.Add("entry framed, once for all links",
            MicrosecondsPerCall([&]() { EncodePeerMessage(relay); }) / entries,
            "us processor");
  notes.Add("entry unframed and its record decoded",
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

// A change of a pool carries all of the pool's servers.
void
MeasurePoolChange(std::size_t aPercent, std::vector<measurement>& aFound)
{
  for (log_entry const& entry : MakeRecords(aPercent)) {
    config_proposal const& proposal = std::get<config_proposal>(entry.mRecord);
    pool_change const* const change =
      std::get_if<pool_change>(&proposal.mChanges.front());
    if (!change)
      continue;
    size_notes notes{ "servers", change->mRow->mServers.size(), aFound };
    std::string const text = EncodeRecord(entry.mRecord);
    notes.Add("record of a pool", static_cast<double>(text.size()), "B");
    notes.Add("record of a pool decoded",
              MicrosecondsPerCall([&]() { DecodeRecord(text); }),
              "us processor");
    return;
  }
}

}

std::vector<measurement>
MeasureSnapshot()
{
  std::vector<measurement> found;
  for (std::size_t const percent : { 10, 30, 100 })
    MeasureState(percent, found);
  for (std::size_t const percent : { 10, 30, 100 })
    MeasurePoolChange(percent, found);
  for (std::size_t const entries : { 1, 16, 256 })
    MeasureRelay(entries, found);
  return found;
}

}
