#pragma once

#include <LibCore/Instant.h>
#include <LibHttp/EventBoundary.h>
#include <LibOpenAi/EventStreamScan.h>
#include <LibUpstream/UpstreamCommand.h>
#include <LibUpstream/UpstreamEnd.h>
#include <LibUpstream/UpstreamHead.h>
#include <LibUpstream/UpstreamPiece.h>

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// One running attempt at a backend server: a libcurl handle, and the part of
/// the answer that was received and isn't forwarded yet. Used on the thread of
/// its upstream_loop only.
class transfer
{
public:
  /// Sets up the handle; throws error when libcurl has no memory. The transfer
  /// adds itself to aReceived when bytes arrive.
  transfer(upstream_request aRequest,
           instant aNow,
           std::vector<transfer*>& aReceived);

  transfer(transfer const&) = delete;
  transfer& operator=(transfer const&) = delete;

  /// The libcurl handle; the transfer owns it.
  [[nodiscard]] CURL* Handle() const noexcept { return mHandle.get(); }

  /// The attempt's call.
  [[nodiscard]] call_number Call() const noexcept { return mRequest.mCall; }

  /// When the attempt fails unless the answer's first byte has arrived.
  [[nodiscard]] instant FirstByteDeadline() const noexcept
  {
    return mFirstByteDeadline;
  }

  /// True while no byte of the answer has arrived.
  [[nodiscard]] bool IsWaiting() const noexcept { return !mFirstByte; }

  /// Pauses or resumes reading from the backend server.
  void SetFlow(transfer_flow aFlow);

  /// The head to forward, once, when the answer is forwarded in pieces.
  std::optional<upstream_head> TakeHead();

  /// The bytes received since the last call that can be forwarded; nothing when
  /// there are none or the answer is buffered.
  std::optional<upstream_piece> TakePiece();

  /// Describes how the attempt ended. aFailure is why the loop itself ended it;
  /// when it is None, aResult of libcurl decides.
  upstream_end Finish(CURLcode aResult,
                      transfer_failure aFailure,
                      instant aNow);

private:
  struct handle_deleter
  {
    void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  };
  struct list_deleter
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  // Whether the answer is buffered until it is complete or forwarded in pieces.
  enum class forwarding
  {
    Undecided,
    Buffered,
    Forwarded,
  };

  static std::size_t OnBytes(char* aData,
                             std::size_t aSize,
                             std::size_t aCount,
                             void* aTransfer);
  static std::size_t OnHeadLine(char* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aTransfer);
  void Receive(std::string_view aBytes);
  void DecideForwarding();
  [[nodiscard]] std::size_t ForwardableBytes() const;
  // True when the answer takes more memory than any answer may.
  [[nodiscard]] bool IsTooLarge() const;
  void SetMethod();
  void SetHeaders();
  void SetConnection();
  [[nodiscard]] std::uint16_t Status() const;
  [[nodiscard]] std::string ContentType() const;
  [[nodiscard]] bool WasConnected() const;
  [[nodiscard]] transfer_failure Classify(CURLcode aResult) const;

  upstream_request mRequest;
  std::vector<transfer*>& mReceived;
  bool mIsInReceived = false;
  std::unique_ptr<CURL, handle_deleter> mHandle;
  std::unique_ptr<curl_slist, list_deleter> mHeaders;
  instant mFirstByteDeadline;
  std::optional<instant> mFirstByte;
  forwarding mForwarding = forwarding::Undecided;
  /// True while the last head that began has ended.
  bool mIsHeadComplete = false;
  bool mIsHeadTaken = false;
  bool mIsEventStream = false;
  /// The bytes of all heads so far.
  std::size_t mHeadBytes = 0;
  event_stream_scan mScan;
  event_boundary mBoundary;
  std::string mBytes;
  /// The length of the complete events in mBytes.
  std::size_t mEventEnd = 0;
  std::string mRecorded;
  std::uint64_t mForwardedBytes = 0;
};

}
