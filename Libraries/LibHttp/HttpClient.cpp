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

namespace {

// An answer of a slow store takes some hundred milliseconds.
constexpr std::chrono::milliseconds kReuseTimeout{ 400 };

}

// One connection of a call, and what is read from it.
struct http_client::attempt
{
  std::shared_ptr<tcp::socket> mSocket;
  boost::beast::flat_buffer mBuffer{ kMaxInputBytes };
  boost::beast::http::response_parser<boost::beast::http::string_body> mParser;

  void Close() const
  {
    boost::system::error_code ignored;
    mSocket->close(ignored);
  }
};

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
    , mReuseTimer(aClient.mContext)
  {
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
    mCall.mHead.mFields.push_back({ "Host", mCall.mTo.Text() });
    mCall.mHead.mFields.push_back(
      { "Content-Length", std::to_string(mCall.mBody.size()) });
    mHeadBytes = FormatRequestHead(mCall.mHead);
    std::optional<idle_socket> idle = mClient.TakeIdle(mCall.mTo);
    if (!idle)
      return Connect();
    mIdleTime = mStartedAt - idle->mIdleSince;
    Use(std::move(idle->mSocket));
    if (mCall.mHead.mMethod == "GET")
      RepeatIfUnanswered();
    Write();
  }

private:
  // A reused connection may have gone silent for good, in which case nothing
  // but its silence shows it. A read may be sent twice.
  void RepeatIfUnanswered()
  {
    mReuseTimer.expires_after(kReuseTimeout);
    mReuseTimer.async_wait(
      [self = shared_from_this()](boost::system::error_code aFault) {
        if (aFault || self->mIsDone || self->mAttempt->mParser.got_some())
          return;
        self->LogUnanswered("silent");
        self->mAttempt->Close();
        self->mClient.mIdle.erase(self->mCall.mTo);
        self->mIdleTime.reset();
        self->Connect();
      });
  }

  void Use(std::shared_ptr<tcp::socket> aSocket)
  {
    mAttempt = std::make_shared<attempt>();
    mAttempt->mSocket = std::move(aSocket);
    mAttempt->mParser.body_limit(mCall.mMaxAnswerBytes);
  }

  void Connect()
  {
    Use(std::make_shared<tcp::socket>(mClient.mContext));
    boost::system::error_code fault;
    boost::asio::ip::address const address =
      boost::asio::ip::make_address(mCall.mTo.mAddress, fault);
    if (fault)
      return End("the address of the call is not an IP address");
    mAttempt->mSocket->async_connect(
      { address, mCall.mTo.mPort },
      [self = shared_from_this()](boost::system::error_code aFault) {
        if (aFault)
          return self->End(aFault.message());
        boost::system::error_code ignored;
        self->mAttempt->mSocket->set_option(tcp::no_delay{ true }, ignored);
        self->Write();
      });
  }

  void Write()
  {
    if (mIsDone)
      return;
    mVerdict = verdict::MayHaveRun;
    std::array<boost::asio::const_buffer, 2> const buffers{
      boost::asio::buffer(mHeadBytes), boost::asio::buffer(mCall.mBody)
    };
    boost::asio::async_write(*mAttempt->mSocket,
                             buffers,
                             [self = shared_from_this(), used = mAttempt](
                               boost::system::error_code aFault, std::size_t) {
                               if (aFault && used == self->mAttempt)
                                 self->End(aFault.message());
                             });
    boost::beast::http::async_read(
      *mAttempt->mSocket,
      mAttempt->mBuffer,
      mAttempt->mParser,
      [self = shared_from_this(),
       used = mAttempt](boost::system::error_code aFault, std::size_t) {
        if (used == self->mAttempt)
          self->End(aFault ? aFault.message() : std::string{});
      });
  }

  void End(std::string aFault)
  {
    if (std::exchange(mIsDone, true))
      return;
    mTimer.cancel();
    mReuseTimer.cancel();
    http_exchange_result result{ .mVerdict = mVerdict,
                                 .mFault = std::move(aFault) };
    if (result.mFault.empty()) {
      result.mVerdict = verdict::Ran;
      result.mHead = TakeAnswerHead(mAttempt->mParser);
      result.mBody = std::move(mAttempt->mParser.get().body());
      KeepOrClose();
    } else {
      LogUnanswered(result.mFault);
      // Whatever made this connection fail may have happened to the others.
      mClient.mIdle.erase(mCall.mTo);
      mAttempt->Close();
    }
    mClient.Record(mCall.mPurpose, mClock.Now() - mStartedAt, result);
    mHandler(std::move(result));
  }

  void KeepOrClose()
  {
    if (!mAttempt->mParser.get().keep_alive() || mAttempt->mBuffer.size() != 0)
      return mAttempt->Close();
    mClient.mIdle[mCall.mTo].push_back(
      { .mSocket = std::move(mAttempt->mSocket), .mIdleSince = mClock.Now() });
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
  boost::asio::steady_timer mReuseTimer;
  system_clock mClock;
  instant mStartedAt{};
  std::shared_ptr<attempt> mAttempt;
  /// How long the connection was idle before the call; empty for a new one.
  std::optional<duration> mIdleTime;
  std::string mHeadBytes;
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
