#pragma once

#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/PageSource.h>
#include <LibFleet/StoreDuty.h>
#include <LibFleet/TopicReader.h>
#include <LibPeer/TopicRelay.h>
#include <LibStore/TopicState.h>

#include <chrono>
#include <functional>
#include <span>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Follows what operators and backend servers write: by own reads while no
/// other instance reads for this one, else by what that one passes on.
template<fleet_dialect Dialect>
class store_watch
{
public:
  /// Hears of each page's records that are news; of none, the page says only
  /// that the store answers.
  using news_handler = std::function<
    void(store_topic, std::span<keyed_record const>, page_source)>;
  /// Hears of records that this instance read, to pass them on.
  using relay_handler = std::function<void(topic_relay const&)>;
  /// Hears that the store didn't answer for the servers.
  using failure_handler = std::function<void()>;

  store_watch(http_client& aClient,
              endpoint const& aStore,
              news_handler aNewsHandler,
              relay_handler aRelayHandler,
              failure_handler aFailureHandler)
    : mNewsHandler(std::move(aNewsHandler))
    , mRelayHandler(std::move(aRelayHandler))
    , mFailureHandler(std::move(aFailureHandler))
    , mOperators(MakeWatched(aClient, aStore, store_topic::Operators))
    , mServers(MakeWatched(aClient, aStore, store_topic::Servers))
  {
  }
  store_watch(store_watch const&) = delete;
  store_watch& operator=(store_watch const&) = delete;

  /// Reads what is due.
  void Tick(instant aNow, bool aHasReader)
  {
    for (watched* const topic : { &mServers, &mOperators }) {
      if (topic->mDuty.IsDue(aNow, aHasReader))
        Read(*topic);
    }
    // Reads of the store may lag behind it while its history is dropped, so
    // what they miss is made up for by reading all keys anew at times.
    if (aNow < mRefreshDue)
      return;
    mRefreshDue = aNow + kRefreshInterval;
    mServers.mReader.Refresh();
    mOperators.mReader.Refresh();
  }

  /// Takes what another instance read.
  void OnRelay(topic_relay const& aRelay)
  {
    if (aRelay.mTopic == store_topic::Operators)
      TakeRelay(aRelay, mOperators);
    if (aRelay.mTopic == store_topic::Servers)
      TakeRelay(aRelay, mServers);
  }

  /// The offset behind the last of the operators' records that are known.
  [[nodiscard]] std::uint64_t OperatorsEnd() const
  {
    return mOperators.mReader.Next().value_or(0);
  }

  /// A peer tells how far it has the operators' records: what it passed on may
  /// have been lost with a link.
  void OnPeerEnd(instant aNow, std::uint64_t aEnd)
  {
    mOperators.mDuty.OnPeerEnd(aNow, OperatorsEnd(), aEnd);
  }

  /// True while this instance's own reads of both topics are answered.
  [[nodiscard]] bool IsReading(instant aNow) const
  {
    return mServers.mDuty.IsReading(aNow) && mOperators.mDuty.IsReading(aNow);
  }

  /// True while its reads of the servers are.
  [[nodiscard]] bool IsReadingServers(instant aNow) const
  {
    return mServers.mDuty.IsReading(aNow);
  }

private:
  struct watched
  {
    store_topic mTopic;
    topic_reader<Dialect> mReader;
    store_duty mDuty{};
    topic_state mState{};
  };

  static constexpr std::chrono::milliseconds kRefreshInterval{ 3'000 };

  watched MakeWatched(http_client& aClient,
                      endpoint const& aStore,
                      store_topic aTopic)
  {
    return { .mTopic = aTopic,
             .mReader = { aClient,
                          aStore,
                          aTopic,
                          [this, aTopic](std::uint64_t aFrom,
                                         topic_page const& aPage,
                                         bool aIsWhole) {
                            OnPage(aTopic, aFrom, aPage, aIsWhole);
                          } } };
  }

  void Read(watched& aTopic)
  {
    if (aTopic.mReader.IsReading())
      return;
    aTopic.mDuty.OnStart(mClock.Now());
    aTopic.mReader.Read([this, &aTopic](store_read_status aStatus) {
      bool const isAnswered = aStatus != store_read_status::Failed;
      NoteStore(isAnswered);
      aTopic.mDuty.OnRead(mClock.Now(), isAnswered);
      if (aStatus == store_read_status::Expired)
        aTopic.mDuty.ReadSoon();
      if (!isAnswered && &aTopic == &mServers)
        mFailureHandler();
    });
  }

  void NoteStore(bool aAnswers)
  {
    if (std::exchange(mIsAnswering, aAnswers) != aAnswers)
      LogEvent(aAnswers ? "store_back" : "store_lost", {});
  }

  void OnPage(store_topic aTopic,
              std::uint64_t aFrom,
              topic_page const& aPage,
              bool aIsWhole)
  {
    if (mSource == page_source::Store && !aPage.mRecords.empty())
      mRelayHandler({ .mTopic = aTopic,
                      .mIsSnapshot = aIsWhole,
                      .mFrom = aFrom,
                      .mEnd = aPage.mEnd,
                      .mRecords = aPage.mRecords });
    topic_state& state =
      aTopic == store_topic::Operators ? mOperators.mState : mServers.mState;
    mNewsHandler(aTopic, state.Take(aPage, aIsWhole), mSource);
  }

  void TakeRelay(topic_relay const& aRelay, watched& aTopic)
  {
    topic_page const page{ .mRecords = aRelay.mRecords, .mEnd = aRelay.mEnd };
    mSource = page_source::Peer;
    if (aRelay.mIsSnapshot)
      aTopic.mReader.TakeWhole(page);
    else if (!aTopic.mReader.Take(aRelay.mFrom, page))
      aTopic.mDuty.ReadSoon();
    mSource = page_source::Store;
  }

  news_handler mNewsHandler;
  relay_handler mRelayHandler;
  failure_handler mFailureHandler;
  system_clock mClock;
  /// Of the page that is being taken.
  page_source mSource = page_source::Store;
  watched mOperators;
  watched mServers;
  instant mRefreshDue{};
  bool mIsAnswering = true;
};

}
