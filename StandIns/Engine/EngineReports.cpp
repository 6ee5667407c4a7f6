#include <StandIns/Engine/EngineApi.h>
#include <StandIns/Engine/EngineJson.h>
#include <StandIns/Engine/RespondJson.h>

#include <charconv>

namespace lycheeseam::standin {

using nlohmann::json;

namespace {

std::uint64_t
NumberIn(std::string_view aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

}

void
engine_api::ReportLoad(exchange const& aExchange)
{
  json load = LoadToJson(mGenerator.Load().Read(system_clock{}.Now()));
  load["id"] = mOptions.mId.Text();
  load["incarnation"] = mIncarnation.Value();
  load["max_batch"] = mOptions.mSpeed.mMaxBatch;
  load["cache_blocks"] = mOptions.mSpeed.mCacheBlocks;
  load["tokens_per_second"] = mOptions.mSpeed.mTokensPerSecond;
  load["prefill_tokens_per_second"] = mOptions.mSpeed.mPrefillTokensPerSecond;
  load["model"] = mOrderHandler.Model().Text();
  load["version"] = mOrderHandler.Version().Text();
  load["adapters"] = mOrderHandler.Adapters();
  load["role"] = mOrderHandler.Role();
  load["is_loading"] = mIsLoading;
  RespondOk(*aExchange, load);
}

void
engine_api::ReportEvents(exchange const& aExchange)
{
  event_sequence const from{ NumberIn(
    QueryValue(aExchange->Request(), "from")) };
  instant const now = system_clock{}.Now();
  cache_event_log const& events = mGenerator.Events();
  RespondOk(*aExchange,
            { { "incarnation", mIncarnation.Value() },
              { "version", mOrderHandler.Version().Text() },
              { "earliest", events.Earliest().Value() },
              { "next", events.NextVisible(now).Value() },
              { "events", EventsToJson(events.From(from, now)) } });
}

void
engine_api::ReportCounts(exchange const& aExchange)
{
  json counts = CountsToJson(mGenerator.Counts());
  counts["stale_orders_accepted"] = mOrderHandler.StaleAccepted();
  counts["incarnation"] = mIncarnation.Value();
  RespondOk(*aExchange, counts);
}

}
