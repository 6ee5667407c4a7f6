#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibHttp/InputLimits.h>
#include <LibOpenAi/ParseUsage.h>
#include <LibUpstream/Transfer.h>

namespace lycheeseam {

namespace {

// Except for event streams below kFirstErrorStatus, an answer up to this size
// is buffered until it is complete, so that a retry or a correct refusal is
// still possible when the backend server fails.
constexpr std::size_t kMaxBufferedBytes = 4UL * 1024 * 1024;

// From this status on the answer is a failure of the backend server, which the
// control thread may retry at another one. So an event stream is buffered too.
constexpr std::uint16_t kFirstErrorStatus = 500;

// Answers with a lower status are interim ones.
constexpr std::uint16_t kFirstFinalStatus = 200;

// The result of a callback that makes libcurl end the transfer: less than what
// it was given.
constexpr std::size_t kEndTransfer = 0;

}

transfer::transfer(upstream_request aRequest,
                   instant aNow,
                   std::vector<transfer*>& aReceived)
  : mRequest(std::move(aRequest))
  , mReceived(aReceived)
  , mHandle(curl_easy_init())
  , mFirstByteDeadline(aNow + mRequest.mFirstByteTimeout)
{
  if (!mHandle)
    throw error("libcurl has no memory for a handle");
  SetMethod();
  SetHeaders();
  SetConnection();
}

void
transfer::SetFlow(transfer_flow aFlow)
{
  int const bits =
    aFlow == transfer_flow::Paused ? CURLPAUSE_RECV : CURLPAUSE_CONT;
  curl_easy_pause(mHandle.get(), bits);
}

std::size_t
transfer::OnBytes(char* aData,
                  std::size_t aSize,
                  std::size_t aCount,
                  void* aTransfer)
{
  std::size_t const bytes = aSize * aCount;
  transfer& self = *static_cast<transfer*>(aTransfer);
  self.Receive({ aData, bytes });
  return self.IsTooLarge() ? kEndTransfer : bytes;
}

std::size_t
transfer::OnHeadLine(char* aData,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aTransfer)
{
  std::string_view const line{ aData, aSize * aCount };
  transfer& self = *static_cast<transfer*>(aTransfer);
  // The empty line ends a head; an interim answer's head comes before.
  if (line.starts_with("HTTP/"))
    self.mIsHeadComplete = false;
  else if (line == "\r\n" || line == "\n")
    self.mIsHeadComplete = true;
  self.mHeadBytes += line.size();
  return self.mHeadBytes > kMaxHeadBytes ? kEndTransfer : line.size();
}

void
transfer::Receive(std::string_view aBytes)
{
  if (mForwarding == forwarding::Undecided) {
    mFirstByte = system_clock{}.Now();
    DecideForwarding();
  }
  if (mIsEventStream) {
    mScan.Consume(aBytes);
    if (std::size_t const end = mBoundary.Scan(aBytes))
      mEventEnd = mBytes.size() + end;
  }
  mBytes += aBytes;
  if (!mIsInReceived)
    mReceived.push_back(this);
  mIsInReceived = true;
  if (mForwarding == forwarding::Buffered && mBytes.size() > kMaxBufferedBytes)
    mForwarding = forwarding::Forwarded;
}

void
transfer::DecideForwarding()
{
  mIsEventStream = ContentType().starts_with("text/event-stream");
  bool const isForwarded = mIsEventStream && Status() < kFirstErrorStatus;
  mForwarding = isForwarded ? forwarding::Forwarded : forwarding::Buffered;
}

std::optional<upstream_head>
transfer::TakeHead()
{
  if (mForwarding != forwarding::Forwarded || mIsHeadTaken)
    return std::nullopt;
  mIsHeadTaken = true;
  if (mRequest.mPosition == answer_position::Continuation)
    return std::nullopt;
  return upstream_head{ .mCall = mRequest.mCall,
                        .mAttempt = mRequest.mAttempt,
                        .mStatus = Status(),
                        .mContentType = ContentType() };
}

// Of an event stream only complete events are forwarded: when its backend
// server fails, another one can continue after the last of them.
std::size_t
transfer::ForwardableBytes() const
{
  return mIsEventStream ? mEventEnd : mBytes.size();
}

bool
transfer::IsTooLarge() const
{
  bool const isEventTooLarge = mIsEventStream &&
                               mForwarding == forwarding::Forwarded &&
                               mBytes.size() - mEventEnd > kMaxEventBytes;
  return isEventTooLarge || mRecorded.size() > kMaxBufferedBytes;
}

std::optional<upstream_piece>
transfer::TakePiece()
{
  mIsInReceived = false;
  std::size_t const forwardable = ForwardableBytes();
  if (mForwarding != forwarding::Forwarded || forwardable == 0)
    return std::nullopt;
  upstream_piece piece{ .mCall = mRequest.mCall,
                        .mAttempt = mRequest.mAttempt };
  if (forwardable == mBytes.size()) {
    piece.mBytes.swap(mBytes);
  } else {
    piece.mBytes = mBytes.substr(0, forwardable);
    mBytes.erase(0, forwardable);
  }
  mEventEnd = 0;
  mForwardedBytes += forwardable;
  if (mRequest.mRecording == event_recording::On)
    mRecorded += piece.mBytes;
  return piece;
}

std::uint16_t
transfer::Status() const
{
  long status = 0;
  curl_easy_getinfo(mHandle.get(), CURLINFO_RESPONSE_CODE, &status);
  return static_cast<std::uint16_t>(status);
}

std::string
transfer::ContentType() const
{
  char const* type = nullptr;
  curl_easy_getinfo(mHandle.get(), CURLINFO_CONTENT_TYPE, &type);
  return type ? type : "";
}

bool
transfer::WasConnected() const
{
  curl_off_t microseconds = 0;
  curl_easy_getinfo(mHandle.get(), CURLINFO_CONNECT_TIME_T, &microseconds);
  return microseconds > 0;
}

transfer_failure
transfer::Classify(CURLcode aResult) const
{
  if (aResult == CURLE_OK) {
    // To libcurl, an answer is complete and empty when its connection ends
    // within its head.
    if (!mIsHeadComplete || Status() < kFirstFinalStatus)
      return transfer_failure::ConnectionLost;
    // To libcurl, a stream that is delimited by the connection's end looks
    // complete even when it ends early.
    bool const isTruncated = mIsEventStream && !mScan.IsDone();
    return isTruncated ? transfer_failure::ConnectionLost
                       : transfer_failure::None;
  }
  if (!WasConnected())
    return transfer_failure::NotConnected;
  if (aResult == CURLE_OPERATION_TIMEDOUT)
    return transfer_failure::Stalled;
  return transfer_failure::ConnectionLost;
}

upstream_end
transfer::Finish(CURLcode aResult, transfer_failure aFailure, instant aNow)
{
  if (aFailure == transfer_failure::None)
    aFailure = Classify(aResult);
  upstream_end end{ .mCall = mRequest.mCall,
                    .mAttempt = mRequest.mAttempt,
                    .mFailure = aFailure,
                    .mStatus = Status(),
                    .mContentType = ContentType(),
                    .mBody = std::move(mBytes),
                    .mForwardedBytes = mForwardedBytes,
                    .mForwardedEvents = mScan.Events(),
                    .mRecorded = std::move(mRecorded),
                    .mUsage = mScan.Usage(),
                    .mFirstByte = mFirstByte,
                    .mEnd = aNow };
  if (aFailure == transfer_failure::None)
    end.mVerdict = verdict::Ran;
  else if (WasConnected())
    end.mVerdict = verdict::MayHaveRun;
  else
    end.mVerdict = verdict::NotRun;
  bool const isJson = end.mContentType.starts_with("application/json");
  if (!end.mUsage && isJson && end.mStatus < kFirstErrorStatus)
    end.mUsage = ParseUsage(end.mBody);
  return end;
}

}
