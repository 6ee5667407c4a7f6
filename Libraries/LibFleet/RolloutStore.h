#pragma once

#include <LibCore/InvalidInput.h>
#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/StoreCalls.h>
#include <LibPeer/RolloutNotice.h>

#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace lycheeseam {

/// The states of rollouts in the store. A state is appended on the condition
/// that no other instance has written since this one read, so that a leader
/// that was paused or succeeded can't write. Makes one call at a time, on the
/// control thread.
template<fleet_dialect Dialect>
class rollout_store
{
public:
  /// Receives the states of all pools.
  using read_handler = std::function<void(std::vector<rollout_notice>)>;
  /// Called when a record is stored.
  using stored_handler = std::function<void()>;

  rollout_store(http_client& aClient, endpoint aStore)
    : mCalls(aClient, std::move(aStore))
  {
  }

  /// True when the states have been read and no other instance is known to have
  /// written since.
  [[nodiscard]] bool IsRead() const noexcept { return mEnd.has_value(); }

  /// True when a call may be made.
  [[nodiscard]] bool IsFree(instant aNow) const noexcept
  {
    return !mIsBusy && aNow >= mNextCallAt;
  }

  /// Makes it necessary to read again.
  void Reset() { mEnd.reset(); }

  void Read(read_handler aHandler)
  {
    mIsBusy = true;
    mCalls.ReadNewest(store_topic::Rollouts,
                      [this, handler = std::move(aHandler)](
                        std::optional<topic_page> const& aPage) {
                        mIsBusy = false;
                        if (!aPage)
                          return Wait();
                        mEnd = aPage->mEnd;
                        handler(ReadStates(*aPage));
                      });
  }

  /// Appends the states of a pool; IsRead() must be true.
  void Append(pool_name const& aPool,
              std::span<rollout_notice const> aNotices,
              stored_handler aHandler)
  {
    mIsBusy = true;
    mCalls.Append(
      store_topic::Rollouts,
      mEnd->Offset(),
      { .mKey = aPool.Text(), .mValue = Dialect::FormatRollouts(aNotices) },
      [this, handler = std::move(aHandler)](store_append_result aResult,
                                            http_exchange_result const&) {
        mIsBusy = false;
        if (OnAppended(aResult))
          handler();
      });
  }

  /// Writes the status that operators read.
  void AppendStatus(rollout_state const& aState, stored_handler aHandler)
  {
    mIsBusy = true;
    mCalls.Append(store_topic::Status,
                  std::nullopt,
                  Dialect::FormatRolloutStatus(aState),
                  [this, handler = std::move(aHandler)](
                    store_append_result aResult, http_exchange_result const&) {
                    mIsBusy = false;
                    if (aResult.mStatus != store_append_status::Done)
                      return Wait();
                    handler();
                  });
  }

private:
  // From a call that failed to the next one.
  static constexpr std::chrono::milliseconds kRetryDelay{ 300 };

  void Wait() { mNextCallAt = mClock.Now() + kRetryDelay; }

  // True when the record is stored. After a conflict, or when it isn't known
  // whether it was stored, the states have to be read again.
  bool OnAppended(store_append_result const& aResult)
  {
    if (aResult.mStatus == store_append_status::Done) {
      if (mEnd)
        mEnd = aResult.mPosition.Plus(1);
      return mEnd.has_value();
    }
    if (aResult.mStatus != store_append_status::Refused)
      Reset();
    if (aResult.mStatus != store_append_status::Conflict)
      Wait();
    return false;
  }

  static std::vector<rollout_notice> ReadStates(topic_page const& aPage)
  {
    std::vector<rollout_notice> notices;
    for (keyed_record const& record : aPage.mRecords) {
      try {
        for (rollout_notice const& notice :
             Dialect::ReadRollouts(record.mValue.value_or(std::string{})))
          notices.push_back(notice);
      } catch (invalid_input const& fault) {
        LogEvent(
          "rollout_state_ignored",
          { { "key", record.mKey }, { "fault", std::string{ fault.what() } } });
      }
    }
    return notices;
  }

  store_calls<Dialect> mCalls;
  system_clock mClock;
  /// The position after the newest record; empty when the topic must be read.
  std::optional<store_position> mEnd;
  bool mIsBusy = false;
  /// The store is not called before this time.
  instant mNextCallAt{};
};

}
