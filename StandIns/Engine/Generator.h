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

/// Produces answers: the batch and the prefix cache, driven by one timer that
/// is armed only while something is to be produced.
class generator
{
public:
  generator(boost::asio::io_context& aContext,
            engine_settings const& aSettings);

  /// Starts an answer; the caller's going cancels it.
  void Start(completion_request const& aRequest,
             weights_version const& aVersion,
             std::shared_ptr<http_exchange> const& aExchange);

  /// Cancels the answers to a request; returns whether there were any.
  bool Cancel(request_id const& aId);

  /// Drops all cached blocks and tells so in the events.
  void ClearCache();

  /// Calls back once so many more tokens have been sent.
  void OnTokensSent(token_count aTokens, std::function<void()> aCallback);

  prefix_cache& Cache() { return mCache; }
  cache_event_log& Events() { return mEvents; }
  engine_batch& Batch() { return mBatch; }
  lagged<engine_load>& Load() { return mLoad; }
  engine_counts& Counts() { return mCounts; }

  /// Stores blocks that weren't computed here and tells so in the events.
  void Import(std::span<block_hash const> aBlocks);

private:
  void Advance();
  token_count UncachedTokens(sequence const& aSequence);
  void Deliver(token_step const& aStep);
  void CountSent(token_count aTokens);
  void Forget(sequence_id aId);
  void RecordLoad();
  void Arm();

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
