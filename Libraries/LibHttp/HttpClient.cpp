#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>
#include <LibHttp/FormatHead.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/InputLimits.h>
#include <LibHttp/IsConnectionIdle.h>
#include <LibHttp/TakeHead.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace lycheeseam {

// One running call: its connection, time limit and answer.
class http_client::transfer
  : public std::enable_shared_from_this<http_client::transfer>
{
public:
  transfer(http_client& aClient, http_exchange_call aCall, handler aHandler)
    : mClient(aClient)
    , mCall(std::move(aCall))
    , mHandler(std::move(aHandler))
    , mTimer(aClient.mContext)
  {
    mParser.body_limit(mCall.mMaxAnswerBytes);
  }

  void Start()
  {
    mStartedAt = mClock.Now();
    mTimer.expires_after(mCall.mTimeout);
    mTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aFault) {
        if (!aFault)
          self->End("timeout");
      });
    std::optional<idle_socket> idle = mClient.TakeIdle(mCall.mTo);
    if (!idle)
      return Connect();
    mSocket = std::move(idle->mSocket);
    mIdleTime = mStartedAt - idle->mIdleSince;
    Write();
  }

private:
  void Connect()
  {
    mSocket = std::make_shared<tcp::socket>(mClient.mContext);
    boost::system::error_code fault;
    boost::asio::ip::address const address =
      boost::asio::ip::make_address(mCall.mTo.mAddress, fault);
    if (fault)
      return End("the address of the call is not an IP address");
    mSocket->async_connect(
      { address, mCall.mTo.mPort },
      [self = shared_from_this()](boost::system::error_code aFault) {
        if (aFault)
          return self->End(aFault.message());
        boost::system::error_code ignored;
        self->mSocket->set_option(tcp::no_delay{ true }, ignored);
        self->Write();
      });
  }

  void Write()
  {
    if (mIsDone)
      return;
    mVerdict = verdict::MayHaveRun;
    mCall.mHead.mFields.push_back({ "Host", mCall.mTo.Text() });
    mCall.mHead.mFields.push_back(
      { "Content-Length", std::to_string(mCall.mBody.size()) });
    mHeadBytes = FormatRequestHead(mCall.mHead);
    std::array<boost::asio::const_buffer, 2> const buffers{
      boost::asio::buffer(mHeadBytes), boost::asio::buffer(mCall.mBody)
    };
    boost::asio::async_write(*mSocket,
                             buffers,
                             [self = shared_from_this()](
                               boost::system::error_code aFault, std::size_t) {
                               if (aFault)
                                 self->End(aFault.message());
                             });
    boost::beast::http::async_read(
      *mSocket,
      mBuffer,
      mParser,
      [self = shared_from_this()](boost::system::error_code aFault,
                                  std::size_t) {
        self->End(aFault ? aFault.message() : std::string{});
      });
  }

  void End(std::string aFault)
  {
    if (std::exchange(mIsDone, true))
      return;
    mTimer.cancel();
    http_exchange_result result{ .mVerdict = mVerdict,
                                 .mFault = std::move(aFault) };
    if (result.mFault.empty()) {
      result.mVerdict = verdict::Ran;
      result.mHead = TakeAnswerHead(mParser);
      result.mBody = std::move(mParser.get().body());
      if (mParser.get().keep_alive() && mBuffer.size() == 0)
        mClient.mIdle[mCall.mTo].push_back(
          { .mSocket = std::move(mSocket), .mIdleSince = mClock.Now() });
    } else {
      LogUnanswered(result.mFault);
    }
    if (mSocket) {
      boost::system::error_code ignored;
      mSocket->close(ignored);
    }
    mClient.Record(mCall.mPurpose, mClock.Now() - mStartedAt, result);
    mHandler(std::move(result));
  }

  [[nodiscard]] std::string ConnectionState() const
  {
    if (mVerdict == verdict::NotRun)
      return "connecting";
    return mIdleTime ? "reused" : "new";
  }

  void LogUnanswered(std::string const& aFault) const
  {
    auto const inMilliseconds = [](duration aTime) {
      return std::int64_t{
        std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count()
      };
    };
    LogEvent("call_unanswered",
             { { "purpose", std::string{ mCall.mPurpose } },
               { "fault", aFault },
               { "connection", ConnectionState() },
               { "idle_ms", inMilliseconds(mIdleTime.value_or(duration{})) },
               { "elapsed_ms", inMilliseconds(mClock.Now() - mStartedAt) } });
  }

  http_client& mClient;
  http_exchange_call mCall;
  handler mHandler;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  instant mStartedAt{};
  std::shared_ptr<tcp::socket> mSocket;
  /// How long the connection was idle before the call; empty for a new one.
  std::optional<duration> mIdleTime;
  std::string mHeadBytes;
  boost::beast::flat_buffer mBuffer{ kMaxInputBytes };
  boost::beast::http::response_parser<boost::beast::http::string_body> mParser;
  verdict mVerdict = verdict::NotRun;
  bool mIsDone = false;
};

http_client::http_client(boost::asio::io_context& aContext,
                         metrics_recorder& aRecorder)
  : mContext(aContext)
  , mRecorder(aRecorder)
{
}

std::optional<idle_socket>
http_client::TakeIdle(endpoint const& aTo)
{
  std::vector<idle_socket>& idle = mIdle[aTo];
  while (!idle.empty()) {
    idle_socket taken = std::move(idle.back());
    idle.pop_back();
    // A late copy of an earlier answer would be taken for the next one.
    if (IsConnectionIdle(*taken.mSocket))
      return taken;
  }
  return std::nullopt;
}

void
http_client::Record(std::string_view aPurpose,
                    duration aTime,
                    http_exchange_result const& aResult)
{
  auto const series = [aPurpose](char const* aMetric) {
    return counter_series{ .mMetric = aMetric,
                           .mLabel = "purpose",
                           .mLabelValue = std::string{ aPurpose } };
  };
  mRecorder.Observe(mRecorder.OpenHistogram(series("control_call_seconds")),
                    aTime);
  if (!aResult.mFault.empty())
    mRecorder.Count(
      mRecorder.OpenCounter(series("control_calls_unanswered_total")));
  else if (!aResult.mHead.IsSuccess())
    mRecorder.Count(
      mRecorder.OpenCounter(series("control_calls_refused_total")));
}

void
http_client::Call(http_exchange_call aCall, handler aHandler)
{
  std::make_shared<transfer>(*this, std::move(aCall), std::move(aHandler))
    ->Start();
}

}
