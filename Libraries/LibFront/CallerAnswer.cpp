#include <LibFront/CallerAnswer.h>
#include <LibFront/TextHeader.h>
#include <LibOpenAi/FormatRefusal.h>

#include <pistache/peer.h>
#include <sys/socket.h>

#include <array>
#include <charconv>

namespace lycheeseam {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

// Formats bytes as one chunk of HTTP's chunked transfer coding: the size in
// hexadecimal digits, then the bytes.
std::string
FormatChunk(std::string_view aBytes)
{
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  std::to_chars_result const end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aBytes.size(), 16);
  std::string chunk;
  chunk.reserve(aBytes.size() + digits.size() + 2 * kLineEnd.size());
  chunk.append(digits.data(), end.ptr);
  chunk += kLineEnd;
  chunk += aBytes;
  chunk += kLineEnd;
  return chunk;
}

}

caller_answer::caller_answer(Pistache::Http::ResponseWriter aWriter,
                             Pistache::Tcp::Transport& aTransport,
                             request_id aRequest)
  : mWriter(std::move(aWriter))
  , mTransport(aTransport)
  , mRequest(std::move(aRequest))
{
}

bool
caller_answer::IsConnected() const
{
  return mWriter.getPeer() != nullptr;
}

void
caller_answer::AddHeader(std::string aName, std::string aValue)
{
  mWriter.headers().add(
    std::make_shared<text_header>(std::move(aName), std::move(aValue)));
}

void
caller_answer::AddCommonHeaders(std::string_view aContentType)
{
  AddHeader("X-Request-Id", mRequest.Text());
  if (!aContentType.empty())
    AddHeader("Content-Type", std::string{ aContentType });
}

void
caller_answer::SendComplete(std::uint16_t aStatus,
                            std::string_view aContentType,
                            std::string const& aBody)
{
  if (!IsConnected())
    return;
  AddCommonHeaders(aContentType);
  mWriter.send(static_cast<Pistache::Http::Code>(aStatus), aBody);
}

void
caller_answer::SendRefusal(refusal const& aRefusal)
{
  if (!IsConnected())
    return;
  if (mStream)
    SendRefusalEvent(aRefusal);
  else
    SendRefusalAnswer(aRefusal);
}

void
caller_answer::SendRefusalAnswer(refusal const& aRefusal)
{
  AddHeader("Lycheeseam-Verdict",
            std::string{ VerdictName(aRefusal.mVerdict) });
  if (aRefusal.mRetryAfter)
    AddHeader("Retry-After", std::to_string(aRefusal.mRetryAfter->count()));
  SendComplete(RefusalStatus(aRefusal.mCode),
               "application/json",
               FormatRefusal(aRefusal, mRequest));
}

// A stream that failed must not look complete to the caller. An event stream
// ends with the error and without "[DONE]"; any other stream lacks its last
// chunk.
void
caller_answer::SendRefusalEvent(refusal const& aRefusal)
{
  if (!mIsEventStream) {
    Disconnect();
    return;
  }
  Write(FormatRefusalEvent(aRefusal, mRequest));
  End();
}

void
caller_answer::Begin(std::uint16_t aStatus, std::string_view aContentType)
{
  if (!IsConnected())
    return;
  mIsEventStream = aContentType.starts_with("text/event-stream");
  AddCommonHeaders(aContentType);
  mStream.emplace(mWriter.stream(static_cast<Pistache::Http::Code>(aStatus)));
  mStream->flush();
}

void
caller_answer::Write(std::string_view aBytes)
{
  std::shared_ptr<Pistache::Tcp::Peer> const peer = mWriter.getPeer();
  if (!peer || !mStream || aBytes.empty())
    return;
  std::string chunk = FormatChunk(aBytes);
  std::size_t const size = chunk.size();
  mUnsentBytes += size;
  std::weak_ptr<caller_answer> const self = weak_from_this();
  auto const release = [self, size]() {
    std::shared_ptr<caller_answer> const answer = self.lock();
    if (answer)
      answer->Release(size);
  };
  mTransport.asyncWrite(peer->fd(), Pistache::RawBuffer(std::move(chunk), size))
    .then([release](ssize_t) { release(); },
          [release](std::exception_ptr const&) { release(); });
  // Flushes while the peer is held: once it is released, its file descriptor
  // may belong to another connection.
  mTransport.flush();
}

void
caller_answer::Release(std::size_t aBytes)
{
  mUnsentBytes -= aBytes;
  if (mUnsentBytes == 0 && mOnDrained)
    mOnDrained();
}

void
caller_answer::SetDrainedCallback(std::function<void()> aCallback)
{
  mOnDrained = std::move(aCallback);
}

void
caller_answer::End()
{
  if (IsConnected() && mStream)
    mStream->ends();
}

void
caller_answer::Disconnect()
{
  std::shared_ptr<Pistache::Tcp::Peer> const peer = mWriter.getPeer();
  if (peer)
    shutdown(peer->fd(), SHUT_RDWR);
}

}
