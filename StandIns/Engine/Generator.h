#pragma once

#include <LibCore/SystemClock.h>

#include <StandIns/Engine/AnswerWriter.h>
#include <StandIns/Engine/EngineCounts.h>
#include <StandIns/Engine/EngineLoad.h>
#include <StandIns/EngineModel/CacheEventLog.h>
#include <StandIns/EngineModel/EngineBatch.h>
#include <StandIns/EngineModel/Lagged.h>
#include <StandIns/EngineModel/PrefixCache.h>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace lycheeseam::standin {

/// Produces answers with the batch and the prefix cache. One timer drives them,
/// which is armed only while the batch has work.
class generator
{
public:
  generator(boost::asio::io_context& aContext,
            engine_settings const& aSettings);

  /// Starts an answer; it is cancelled if the caller disconnects.
  void Start(completion_request const& aRequest,
             weights_version const& aVersion,
             std::shared_ptr<http_exchange> const& aExchange);

  /// Cancels the answers to a request; returns whether there were any.
  bool Cancel(request_id const& aId);

  /// Drops all cached blocks and records a cache event.
  void ClearCache();

  /// Calls back once, when aTokens more tokens have been sent.
  void OnTokensSent(token_count aTokens, std::function<void()> aCallback);

  prefix_cache& Cache() { return mCache; }
  cache_event_log& Events() { return mEvents; }
  engine_batch& Batch() { return mBatch; }
  lagged<engine_load>& Load() { return mLoad; }
  engine_counts& Counts() { return mCounts; }

  /// Adds blocks to the cache and records the cache events.
  void Import(std::span<block_hash const> aBlocks);

private:
  void Advance();
  token_count UncachedTokens(sequence const& aSequence);
  void Deliver(token_step const& aStep);
  void CountSent(token_count aTokens);
  void CancelSequence(sequence_id aId);
  void RecordLoad();
  void ArmTimer();

  system_clock mClock;
  boost::asio::steady_timer mTimer;
  engine_batch mBatch;
  prefix_cache mCache;
  cache_event_log mEvents;
  lagged<engine_load> mLoad;
  engine_counts mCounts;
  std::map<sequence_id, answer_writer> mAnswers;
  sequence_id mLastId;
  token_count mTokensToCallback = 0;
  std::function<void()> mOnTokensSent;
};

}
