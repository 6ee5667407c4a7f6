#include <LibCore/InvalidInput.h>

#include <StandIns/Service/ServiceApi.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <utility>

namespace lycheeseam::standin {

namespace {

using boost::beast::http::status;
using nlohmann::json;

/// The identity that a request is counted by: its Idempotency-Key, or else the
/// id in its JSON body; empty if it has neither.
std::string
Identity(http_request const& aRequest)
{
  std::string_view const key = HeaderValue(aRequest, "Idempotency-Key");
  if (!key.empty())
    return std::string{ key };
  json const body = json::parse(aRequest.body(), nullptr, false);
  if (!body.is_object() || !body.contains("id"))
    return {};
  json const& id = body["id"];
  return id.is_string() ? id.get<std::string>() : id.dump();
}

}

service_api::service_api(boost::asio::io_context& aContext,
                         backend_server_id aId)
  : mContext(aContext)
  , mId(std::move(aId))
{
}

void
service_api::Handle(exchange const& aExchange, std::size_t aPostsOnConnection)
{
  std::string_view const path = PathOf(aExchange->Request());
  if (path == "/control/counts")
    ReportCounts(aExchange);
  else if (path == "/control")
    HandleControl(aExchange);
  else
    Run(aExchange, aPostsOnConnection);
}

void
service_api::Run(exchange const& aExchange, std::size_t aPostsOnConnection)
{
  http_request const& request = aExchange->Request();
  bool const isPost = request.method() == boost::beast::http::verb::post;
  if (!HeaderValue(request, "Authorization").empty())
    mCounts.AddAuthorizationHeader();
  std::string const identity = isPost ? Identity(request) : std::string{};
  std::uint64_t const runs = identity.empty() ? 0 : mCounts.Add(identity);
  if (!mCrashOn.empty() && request.body().find(mCrashOn) != std::string::npos)
    return mCrash();
  if (isPost && aPostsOnConnection == mCloseAfterPosts)
    return aExchange->Close();
  if (mHang) {
    // The handler that waits for the caller to disconnect keeps the exchange
    // alive.
    return;
  }
  RespondLater(aExchange, Echo(request, runs));
}

void
service_api::RespondLater(exchange const& aExchange, std::string const& aBody)
{
  if (mDelay.count() == 0)
    return aExchange->Respond(status::ok, aBody);
  std::shared_ptr<boost::asio::steady_timer> const timer =
    std::make_shared<boost::asio::steady_timer>(mContext, mDelay);
  timer->async_wait([timer, aExchange, aBody](boost::system::error_code) {
    if (aExchange->IsOpen())
      aExchange->Respond(status::ok, aBody);
  });
}

std::string
service_api::Echo(http_request const& aRequest, std::uint64_t aRuns) const
{
  json headers = json::array();
  for (auto const& header : aRequest) {
    headers.push_back({ { "name", std::string{ header.name_string() } },
                        { "value", std::string{ header.value() } } });
  }
  json const echo{ { "server", mId.Text() },
                   { "method", std::string{ aRequest.method_string() } },
                   { "target", std::string{ aRequest.target() } },
                   { "headers", headers },
                   { "body", aRequest.body() },
                   { "runs", aRuns } };
  return echo.dump(-1, ' ', false, json::error_handler_t::replace);
}

void
service_api::ReportCounts(exchange const& aExchange)
{
  json const counts{ { "runs", mCounts.Runs() },
                     { "authorization_headers",
                       mCounts.AuthorizationHeaders() } };
  aExchange->Respond(status::ok, counts.dump());
}

void
service_api::HandleControl(exchange const& aExchange)
{
  service_control control;
  try {
    control = ParseServiceControl(aExchange->Request().body());
  } catch (invalid_input const& problem) {
    json const error{ { "error", problem.what() } };
    return aExchange->Respond(status::bad_request, error.dump());
  }
  if (control.mCrash)
    return mCrash();
  if (control.mResetCounts)
    mCounts = run_counts{};
  if (control.mDelay)
    mDelay = *control.mDelay;
  if (control.mHang)
    mHang = *control.mHang;
  if (control.mCrashOn)
    mCrashOn = *control.mCrashOn;
  if (control.mCloseAfterPosts)
    mCloseAfterPosts = *control.mCloseAfterPosts;
  aExchange->Respond(status::ok, "{}");
}

}
