#pragma once

#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FollowedTopic.h>
#include <LibFleet/PageSource.h>
#include <LibFleet/ServerChanges.h>
#include <LibPeer/TopicRelay.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Follows the topics of operators and backend servers: by own reads while no
/// other instance reads for this one, else by the records that the elected
/// reader passes on.
template<fleet_dialect Dialect>
class store_follower
{
public:
  /// Receives the new records of each page. A page without any still shows that
  /// the store answers.
  using new_records_handler = std::function<
    void(store_topic, std::span<keyed_record const>, page_source)>;
  /// Called before the first records of an era; the first argument is the era
  /// before, from an older copy of which the store has come back, or empty for
  /// the first one that is known.
  using era_handler = std::function<void(std::optional<store_era>, store_era)>;
  /// Receives records that this instance read, and whether any of them, or the
  /// end of the topic, was newer than what was known. Those of servers that
  /// change nothing but a count are left out.
  using relay_handler = std::function<void(topic_relay const&, bool)>;

  store_follower(http_client& aClient,
                 endpoint const& aStore,
                 server_registry const& aServers,
                 new_records_handler aNewRecordsHandler,
                 era_handler aEraHandler,
                 relay_handler aRelayHandler)
    : mNewRecordsHandler(std::move(aNewRecordsHandler))
    , mEraHandler(std::move(aEraHandler))
    , mRelayHandler(std::move(aRelayHandler))
    , mOperators(MakeFollowedTopic(aClient, aStore, store_topic::Operators))
    , mServers(MakeFollowedTopic(aClient, aStore, store_topic::Servers))
    , mServerChanges(aServers)
  {
  }
  store_follower(store_follower const&) = delete;
  store_follower& operator=(store_follower const&) = delete;

  /// Starts the reads that are due.
  void Tick(instant aNow, bool aHasReader)
  {
    mHasReader = aHasReader;
    for (followed_topic* const topic : { &mServers, &mOperators }) {
      if (topic->mElection.IsDue(aNow, aHasReader))
        Read(*topic);
    }
    if (mServersDueAt && aNow >= *mServersDueAt) {
      mServersDueAt = aNow + kServersReadDelay;
      mServers.mReader.Refresh();
      mServers.mElection.RequestRead();
    }
    // Reads of the store may lag behind it while it drops old records, and miss
    // some. Reading the newest record of every key from time to time makes up
    // for that.
    if (aNow < mNextRefreshAt)
      return;
    mNextRefreshAt = aNow + kRefreshInterval;
    mServers.mReader.Refresh();
    mOperators.mReader.Refresh();
  }

  /// Applies records that another instance read. True when any of them is newer
  /// than what was known, also when records before them are missing.
  bool OnRelay(topic_relay const& aRelay)
  {
    if (aRelay.mTopic == store_topic::Operators)
      return ApplyRelay(aRelay, mOperators);
    if (aRelay.mTopic == store_topic::Servers)
      return ApplyRelay(aRelay, mServers);
    return false;
  }

  /// This instance has removed a server that others may still have. Its next
  /// entries may be left out of relays, so that all are read once it has
  /// written one.
  void OnServerRemoved(instant aNow)
  {
    mServersDueAt = aNow + kServersReadDelay;
  }

  /// The position after the last record of servers that is known; the first one
  /// for none.
  [[nodiscard]] store_position ServersEnd() const
  {
    return mServers.mReader.NextPosition().value_or(store_position{});
  }

  /// The position after the last record of the operators that is known; the
  /// first one for none.
  [[nodiscard]] store_position OperatorsEnd() const
  {
    return mOperators.mReader.NextPosition().value_or(store_position{});
  }

  /// The relays that bring a peer which has the records before aPeerEnd up to
  /// what is known here. With aIsFromStart a peer that knows nothing can read
  /// ranges that begin with the first record.
  [[nodiscard]] std::vector<topic_relay> RelaysFor(store_topic aTopic,
                                                   store_position aPeerEnd,
                                                   bool aIsFromStart) const
  {
    return (aTopic == store_topic::Operators ? mOperators : mServers)
      .RelaysFor(aPeerEnd, aIsFromStart);
  }

  /// A peer reports the position after its last record of the operators.
  /// Records that it passed on may have been lost when a link closed.
  void OnPeerEnd(instant aNow, store_position aEnd)
  {
    mOperators.mElection.OnPeerEnd(aNow, OperatorsEnd(), aEnd);
  }

  /// True while the store answers this instance's own reads of both topics.
  [[nodiscard]] bool IsReading(instant aNow) const
  {
    return mServers.mElection.IsReading(aNow) &&
           mOperators.mElection.IsReading(aNow);
  }

  /// True while the store answers this instance's own reads of the servers.
  [[nodiscard]] bool IsReadingServers(instant aNow) const
  {
    return mServers.mElection.IsReading(aNow);
  }

private:
  using followed_topic = lycheeseam::followed_topic<Dialect>;

  static constexpr std::chrono::milliseconds kRefreshInterval{ 3'000 };
  // Servers write an entry each 1.2 s, and those in their grace period are
  // removed after 2.2 s.
  static constexpr std::chrono::milliseconds kServersReadDelay{ 1'400 };

  followed_topic MakeFollowedTopic(http_client& aClient,
                                   endpoint const& aStore,
                                   store_topic aTopic)
  {
    return { .mTopic = aTopic,
             .mReader = { aClient,
                          aStore,
                          aTopic,
                          [this, aTopic](store_position aFrom,
                                         topic_page const& aPage,
                                         bool aIsFull) {
                            OnPage(aTopic, aFrom, aPage, aIsFull);
                          } } };
  }

  void Read(followed_topic& aTopic)
  {
    if (aTopic.mReader.IsReading())
      return;
    aTopic.mElection.OnReadStart(mClock.Now());
    aTopic.mReader.Read([this, &aTopic](store_read_status aStatus) {
      bool const isAnswered = aStatus != store_read_status::Failed;
      UpdateStoreState(isAnswered);
      aTopic.mElection.OnRead(mClock.Now(), isAnswered);
      if (aStatus == store_read_status::Expired)
        aTopic.mElection.RequestRead();
    });
  }

  void UpdateStoreState(bool aIsAnswering)
  {
    if (std::exchange(mIsStoreAnswering, aIsAnswering) != aIsAnswering)
      LogEvent(aIsAnswering ? "store_back" : "store_lost", {});
  }

  void OnPage(store_topic aTopic,
              store_position aFrom,
              topic_page const& aPage,
              bool aIsFull)
  {
    UpdateEra(aPage.mEnd.Era());
    followed_topic& topic =
      aTopic == store_topic::Operators ? mOperators : mServers;
    bool const isRead = mSource == page_source::Store;
    std::vector<keyed_record> changes;
    if (isRead)
      changes = topic.ChangesOf(aPage, aIsFull, mServerChanges);
    std::vector<keyed_record> const newRecords =
      topic.mState.Apply(aPage, aIsFull);
    mHasNewRecords = !newRecords.empty();
    mNewRecordsHandler(aTopic, newRecords, mSource);
    if (!isRead)
      return;
    if (aIsFull && aTopic == store_topic::Servers)
      OnAllServers(newRecords);
    // Those who know an earlier era, or nothing, need all records.
    if (aIsFull && !topic.mRange.HasBegunIn(aPage.mEnd.Era()))
      return RelaySnapshot(topic, aPage);
    store_position const from = aIsFull ? aPage.mEnd : aFrom;
    std::optional<topic_relay> relay = topic.mRange.Make(
      mClock.Now(), aTopic, from, aPage.mEnd, std::move(changes));
    if (!relay)
      return;
    relay->mCompleteFrom = topic.mReader.CompleteFrom();
    mRelayHandler(*relay, true);
  }

  void RelaySnapshot(followed_topic& aTopic, topic_page const& aPage)
  {
    aTopic.mRange.OnSent(aPage.mEnd);
    if (!aPage.mRecords.empty())
      mRelayHandler({ .mTopic = aTopic.mTopic,
                      .mIsSnapshot = true,
                      .mEnd = aPage.mEnd,
                      .mRecords = aPage.mRecords },
                    mHasNewRecords);
  }

  // A server that this page lacks, but not what the elected reader read, may
  // have registered again since. The reader leaves out its next entries.
  void OnAllServers(std::span<keyed_record const> aNewRecords)
  {
    mServersDueAt.reset();
    bool const isAnyDropped =
      std::any_of(aNewRecords.begin(),
                  aNewRecords.end(),
                  [](keyed_record const& aRecord) { return !aRecord.mValue; });
    if (isAnyDropped)
      OnServerRemoved(mClock.Now());
  }

  void UpdateEra(store_era aEra)
  {
    if (mEra && aEra <= *mEra)
      return;
    mEraHandler(std::exchange(mEra, aEra), aEra);
  }

  bool ApplyRelay(topic_relay const& aRelay, followed_topic& aTopic)
  {
    mSource = page_source::Peer;
    mHasNewRecords = false;
    std::optional<store_position> const next = aTopic.mReader.NextPosition();
    bool const hasGap = !aTopic.mReader.Apply(aRelay);
    mSource = page_source::Store;
    if (hasGap)
      aTopic.OnGap(mClock.Now(), mHasReader);
    else
      aTopic.mRange.OnApplied(aRelay, mHasNewRecords);
    // A relay without records is new when it moves the end.
    if (!hasGap)
      aTopic.mGapSince.reset();
    bool const isEndNew =
      !aRelay.mIsSnapshot && aTopic.mReader.NextPosition() != next;
    return hasGap || mHasNewRecords || isEndNew;
  }

  new_records_handler mNewRecordsHandler;
  era_handler mEraHandler;
  relay_handler mRelayHandler;
  system_clock mClock;
  /// The source of the page that is being applied.
  page_source mSource = page_source::Store;
  /// True when the last page had records that were newer than the known ones.
  bool mHasNewRecords = false;
  followed_topic mOperators;
  followed_topic mServers;
  server_changes<Dialect> mServerChanges;
  /// When all servers are to be read; empty when that isn't needed.
  std::optional<instant> mServersDueAt;
  /// The newest era of any page; empty before the first page.
  std::optional<store_era> mEra;
  instant mNextRefreshAt{};
  bool mIsStoreAnswering = true;
  /// True while a peer reads the store.
  bool mHasReader = false;
};

}
