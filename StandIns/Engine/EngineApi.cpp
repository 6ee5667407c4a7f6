#include <LibCore/InvalidInput.h>

#include <StandIns/Engine/EngineApi.h>
#include <StandIns/Engine/RespondJson.h>

#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

namespace lycheeseam::standin {

namespace {

using boost::beast::http::status;
using nlohmann::json;

/// Milliseconds since the epoch, so that a later start has a larger number.
incarnation
NewIncarnation()
{
  auto const now = std::chrono::system_clock::now().time_since_epoch();
  return incarnation{ static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) };
}

}

engine_api::engine_api(boost::asio::io_context& aContext,
                       engine_options aOptions)
  : mOptions(std::move(aOptions))
  , mIncarnation(NewIncarnation())
  , mGenerator(aContext, mOptions.mSpeed)
  , mOrderHandler(mOptions.mChecksFencing)
  , mLoadTimer(aContext)
{
  mOrderHandler.Complete(
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
    return ReportLoad(aExchange);
  if (path == "/engine/events")
    return ReportEvents(aExchange);
  if (path == "/engine/orders")
    return HandleOrder(aExchange);
  if (path == "/engine/cancel")
    return Cancel(aExchange);
  if (path == "/engine/kv/export")
    return ExportBlocks(aExchange);
  if (path == "/engine/kv/import")
    return ImportBlocks(aExchange);
  if (path == "/control/counts")
    return ReportCounts(aExchange);
  if (path == "/control")
    return HandleControl(aExchange);
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
  aExchange->AddHeader("X-Weights-Version", mOrderHandler.Version().Text());
  if (mIsLoading)
    return RespondError(
      *aExchange,
      status::service_unavailable,
      "loading_weights",
      "new weights are being loaded; the request was not run");
  bool const isAnyModel = mOrderHandler.Model().IsEmpty();
  if (!isAnyModel && request.mModel != mOrderHandler.Model())
    return RespondError(
      *aExchange, status::not_found, "model_not_loaded", request.mModel.Text());
  mGenerator.Start(request, mOrderHandler.Version(), aExchange);
}

void
engine_api::Cancel(exchange const& aExchange)
{
  json const body = json::parse(aExchange->Request().body());
  request_id const id{ body.at("request_id").get<std::string>() };
  RespondOk(*aExchange, { { "cancelled", mGenerator.Cancel(id) } });
}

void
engine_api::HandleControl(exchange const& aExchange)
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
  // The engine has only this thread, so that blocking it freezes the engine.
  std::this_thread::sleep_for(aControl.mFreeze);
}

}
