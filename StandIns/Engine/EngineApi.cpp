#include <LibCore/InvalidInput.h>

#include <StandIns/Engine/EngineApi.h>
#include <StandIns/Engine/EngineJson.h>

#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

namespace lycheeseam::standin {

namespace {

using boost::beast::http::status;
using nlohmann::json;

/// Milliseconds since the epoch: a later start has a larger one.
incarnation
NewIncarnation()
{
  auto const now = std::chrono::system_clock::now().time_since_epoch();
  return incarnation{ static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) };
}

void
RespondError(http_exchange& aExchange,
             status aStatus,
             std::string_view aCode,
             std::string_view aMessage)
{
  json const error{ { "code", aCode }, { "message", aMessage } };
  aExchange.Respond(aStatus, json{ { "error", error } }.dump());
}

void
RespondOk(http_exchange& aExchange, json const& aBody)
{
  aExchange.Respond(status::ok, aBody.dump());
}

std::uint64_t
NumberIn(std::string_view aText)
{
  std::uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

}

engine_api::engine_api(boost::asio::io_context& aContext,
                       engine_options aOptions)
  : mOptions(std::move(aOptions))
  , mIncarnation(NewIncarnation())
  , mGenerator(aContext, mOptions.mSpeed)
  , mDesk(mOptions.mChecksFencing)
  , mLoading(aContext)
{
  mDesk.Complete(
    engine_order{ .mModel = mOptions.mModel, .mVersion = mOptions.mVersion });
}

void
engine_api::Handle(exchange const& aExchange, std::size_t aPostsOnConnection)
{
  http_request const& request = aExchange->Request();
  bool const isControl = PathOf(request).starts_with("/control");
  if (!isControl && aPostsOnConnection == mCloseAfterPosts &&
      request.method() == boost::beast::http::verb::post) {
    aExchange->Close();
    return;
  }
  if (!isControl && !mCrashOn.empty() &&
      request.body().find(mCrashOn) != std::string::npos) {
    mCrash();
    return;
  }
  if (!HeaderValue(request, "Authorization").empty())
    ++mGenerator.Counts().mAuthorizationHeaders;
  try {
    Route(aExchange);
  } catch (invalid_input const& problem) {
    RespondError(
      *aExchange, status::bad_request, "invalid_request", problem.what());
  } catch (json::exception const& problem) {
    RespondError(
      *aExchange, status::bad_request, "invalid_request", problem.what());
  }
}

void
engine_api::Route(exchange const& aExchange)
{
  std::string_view const path = PathOf(aExchange->Request());
  if (path == "/v1/chat/completions" || path == "/v1/completions")
    return Complete(aExchange);
  if (path == "/engine/load")
    return TellLoad(aExchange);
  if (path == "/engine/events")
    return TellEvents(aExchange);
  if (path == "/engine/orders")
    return TakeOrder(aExchange);
  if (path == "/engine/cancel")
    return Cancel(aExchange);
  if (path == "/engine/kv/export")
    return ExportBlocks(aExchange);
  if (path == "/engine/kv/import")
    return ImportBlocks(aExchange);
  if (path == "/control/counts")
    return TellCounts(aExchange);
  if (path == "/control")
    return TakeControl(aExchange);
  RespondError(*aExchange, status::not_found, "unknown_path", path);
}

void
engine_api::Complete(exchange const& aExchange)
{
  completion_request const request =
    ParseCompletion(aExchange->Request(), mOptions.mDefaultMaxTokens);
  aExchange->AddHeader("X-Engine-Id", mOptions.mId.Text());
  aExchange->AddHeader("X-Engine-Incarnation",
                       std::to_string(mIncarnation.Value()));
  aExchange->AddHeader("X-Weights-Version", mDesk.Version().Text());
  if (mIsLoading)
    return RespondError(*aExchange,
                        status::service_unavailable,
                        "loading_weights",
                        "new weights are being loaded; nothing was run");
  bool const isAnyModel = mDesk.Model().IsEmpty();
  if (!isAnyModel && request.mModel != mDesk.Model())
    return RespondError(
      *aExchange, status::not_found, "model_not_loaded", request.mModel.Text());
  mGenerator.Start(request, mDesk.Version(), aExchange);
}

void
engine_api::TellLoad(exchange const& aExchange)
{
  json load = LoadToJson(mGenerator.Load().Read(system_clock{}.Now()));
  load["id"] = mOptions.mId.Text();
  load["incarnation"] = mIncarnation.Value();
  load["max_batch"] = mOptions.mSpeed.mMaxBatch;
  load["cache_blocks"] = mOptions.mSpeed.mCacheBlocks;
  load["tokens_per_second"] = mOptions.mSpeed.mTokensPerSecond;
  load["prefill_tokens_per_second"] = mOptions.mSpeed.mPrefillTokensPerSecond;
  load["model"] = mDesk.Model().Text();
  load["version"] = mDesk.Version().Text();
  load["adapters"] = mDesk.Adapters();
  load["role"] = mDesk.Role();
  load["is_loading"] = mIsLoading;
  RespondOk(*aExchange, load);
}

void
engine_api::TellEvents(exchange const& aExchange)
{
  event_sequence const from{ NumberIn(
    QueryValue(aExchange->Request(), "from")) };
  instant const now = system_clock{}.Now();
  cache_event_log const& events = mGenerator.Events();
  RespondOk(*aExchange,
            { { "incarnation", mIncarnation.Value() },
              { "version", mDesk.Version().Text() },
              { "earliest", events.Earliest().Value() },
              { "next", events.NextVisible(now).Value() },
              { "events", EventsToJson(events.From(from, now)) } });
}

void
engine_api::TakeOrder(exchange const& aExchange)
{
  engine_order const order = ParseOrder(aExchange->Request().body());
  if (mDesk.Check(order) == order_answer::StaleFencing) {
    json const error{ { "code", "stale_fencing" },
                      { "newest", mDesk.Newest().Value() } };
    aExchange->Respond(status::conflict, json{ { "error", error } }.dump());
    return;
  }
  if (order.mKind != engine_order_kind::LoadWeights)
    return CarryOut(order, aExchange);
  mIsLoading = true;
  mLoading.expires_after(mOptions.mWeightLoadTime);
  mLoading.async_wait(
    [this, order, aExchange](boost::system::error_code aError) {
      // A later load has taken this one's place.
      if (aError)
        return RespondError(
          *aExchange, status::conflict, "superseded", "a newer load began");
      mIsLoading = false;
      mGenerator.ClearCache();
      CarryOut(order, aExchange);
    });
}

void
engine_api::CarryOut(engine_order const& aOrder, exchange const& aExchange)
{
  mDesk.Complete(aOrder);
  if (aOrder.mKind == engine_order_kind::UnloadWeights)
    mGenerator.ClearCache();
  RespondOk(*aExchange,
            { { "model", mDesk.Model().Text() },
              { "version", mDesk.Version().Text() },
              { "role", mDesk.Role() },
              { "adapters", mDesk.Adapters() },
              { "incarnation", mIncarnation.Value() } });
}

void
engine_api::Cancel(exchange const& aExchange)
{
  json const body = json::parse(aExchange->Request().body());
  request_id const id{ body.at("request_id").get<std::string>() };
  RespondOk(*aExchange, { { "cancelled", mGenerator.Cancel(id) } });
}

void
engine_api::ExportBlocks(exchange const& aExchange)
{
  json const body = json::parse(aExchange->Request().body());
  std::vector<block_hash> held = BlocksFromJson(body.at("blocks"));
  std::erase_if(held, [this](block_hash aBlock) {
    return !mGenerator.Cache().Contains(aBlock);
  });
  RespondOk(*aExchange,
            { { "incarnation", mIncarnation.Value() },
              { "version", mDesk.Version().Text() },
              { "blocks", BlocksToJson(held) } });
}

void
engine_api::ImportBlocks(exchange const& aExchange)
{
  json const body = json::parse(aExchange->Request().body());
  if (body.at("version").get<std::string>() != mDesk.Version().Text())
    return RespondError(*aExchange,
                        status::conflict,
                        "other_weights",
                        "the blocks belong to other weights");
  mGenerator.Import(BlocksFromJson(body.at("blocks")));
  RespondOk(*aExchange, { { "incarnation", mIncarnation.Value() } });
}

void
engine_api::TellCounts(exchange const& aExchange)
{
  json counts = CountsToJson(mGenerator.Counts());
  counts["stale_orders_accepted"] = mDesk.StaleAccepted();
  counts["incarnation"] = mIncarnation.Value();
  RespondOk(*aExchange, counts);
}

void
engine_api::TakeControl(exchange const& aExchange)
{
  engine_control const control =
    ParseEngineControl(aExchange->Request().body());
  if (control.mCrash)
    return mCrash();
  RespondOk(*aExchange, json::object());
  ApplyControl(control);
}

void
engine_api::ApplyControl(engine_control const& aControl)
{
  if (aControl.mCrashOn)
    mCrashOn = *aControl.mCrashOn;
  if (aControl.mCrashAfterTokens)
    mGenerator.OnTokensSent(*aControl.mCrashAfterTokens, mCrash);
  if (aControl.mCloseAfterPosts)
    mCloseAfterPosts = *aControl.mCloseAfterPosts;
  if (aControl.mSlowness)
    mGenerator.Batch().SetSlowness(*aControl.mSlowness);
  if (aControl.mEventDelay)
    mGenerator.Events().SetDelay(*aControl.mEventDelay);
  if (aControl.mLoseEveryEvent)
    mGenerator.Events().SetLostEvery(*aControl.mLoseEveryEvent);
  if (aControl.mLoadLag)
    mGenerator.Load().SetLag(*aControl.mLoadLag);
  // Everything runs on this thread, so that a freeze is a stop of it.
  std::this_thread::sleep_for(aControl.mFreeze);
}

}
