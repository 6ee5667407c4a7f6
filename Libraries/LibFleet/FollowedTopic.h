#pragma once

#include <LibFleet/ReaderElection.h>
#include <LibFleet/RelayPieces.h>
#include <LibFleet/RelayRange.h>
#include <LibFleet/ServerChanges.h>
#include <LibFleet/TopicReader.h>
#include <LibStore/TopicState.h>

#include <chrono>
#include <optional>
#include <vector>

namespace lycheeseam {

/// What an instance knows of a topic of the store that it follows, and what it
/// has to send of it. Runs on the control thread.
template<fleet_dialect Dialect>
struct followed_topic
{
  store_topic mTopic;
  topic_reader<Dialect> mReader;
  reader_election mElection{};
  topic_state mState{};
  relay_range mRange{};
  /// Since when relays have shown that records are missing.
  std::optional<instant> mGapSince{};

  /// The records of a page that others may lack; the page hasn't been applied.
  /// What a complete page shows as deleted goes on after its last entry, by
  /// whose count entries are ordered when the store comes back from an older
  /// copy.
  std::vector<keyed_record> ChangesOf(topic_page const& aPage,
                                      bool aIsFull,
                                      server_changes<Dialect>& aServerChanges)
  {
    std::vector<keyed_record> records;
    for (keyed_record const& record : aPage.mRecords) {
      keyed_record const* const known = mState.Find(record.mKey);
      if (!aIsFull || known == nullptr || known->mPosition < record.mPosition)
        records.push_back(record);
    }
    if (mTopic == store_topic::Servers)
      records = aServerChanges.Select(records, mState);
    if (!aIsFull)
      return records;
    for (keyed_record const& missing : mState.MissingFrom(aPage)) {
      records.push_back(missing);
      records.push_back(
        { .mPosition = store_position::FromNumber(aPage.mEnd.Number() - 1),
          .mKey = missing.mKey });
    }
    return records;
  }

  /// Relays have shown that records are missing. Peers that see the end in this
  /// instance's reports send it the servers that it lacks, so that not all
  /// instances read them when all start.
  void OnGap(instant aNow, bool aHasReader)
  {
    instant const since = mGapSince.value_or(aNow);
    mGapSince = since;
    if (mTopic == store_topic::Servers && aHasReader &&
        aNow - since < kGapTolerance)
      return;
    mGapSince.reset();
    mElection.RequestRead();
  }

  /// The relays for a peer that has the records before aPeerEnd: all records
  /// when this instance may not know of a removal since. With aIsFromStart a
  /// peer that knows nothing can read ranges that begin with the first record.
  [[nodiscard]] std::vector<topic_relay> RelaysFor(store_position aPeerEnd,
                                                   bool aIsFromStart) const
  {
    store_position const end =
      mReader.NextPosition().value_or(store_position{});
    bool const isStarting = aPeerEnd == store_position{};
    store_position const from =
      isStarting ? store_position{ end.Era(), 0 } : aPeerEnd;
    bool const hasAllChanges =
      isStarting ? aIsFromStart : from >= mReader.CompleteFrom();
    if (from.Era() != end.Era() || !hasAllChanges)
      return { { .mTopic = mTopic,
                 .mIsSnapshot = true,
                 .mEnd = end,
                 .mRecords = mState.Records() } };
    std::vector<topic_relay> pieces =
      MakeRelayPieces(mTopic, from, end, mState.RecordsFrom(from));
    for (topic_relay& piece : pieces)
      piece.mCompleteFrom = mReader.CompleteFrom();
    return pieces;
  }

  // Peers send what is missing within 0.4 s and two reports; a leaving server
  // must get no more work after 2 s.
  static constexpr std::chrono::milliseconds kGapTolerance{ 900 };
};

}
