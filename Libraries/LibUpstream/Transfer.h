#pragma once

#include <LibCore/Instant.h>
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

/// One running attempt: a libcurl handle and what has come in so far. Used
/// on its loop's thread only.
class transfer
{
public:
  /// Sets the handle up; throws error when libcurl has no memory. A transfer
  /// adds itself to Received when bytes come in.
  transfer(upstream_request aRequest,
           instant aNow,
           std::vector<transfer*>& aReceived);

  transfer(transfer const&) = delete;
  transfer& operator=(transfer const&) = delete;

  /// The handle, owned by the transfer.
  [[nodiscard]] CURL* Handle() const noexcept { return mHandle.get(); }

  /// The attempt's call.
  [[nodiscard]] call_number Call() const noexcept { return mRequest.mCall; }

  /// When the attempt ends unless a first byte has come by then.
  [[nodiscard]] instant FirstByteDeadline() const noexcept
  {
    return mFirstByteDeadline;
  }

  /// True while no byte of the answer has come.
  [[nodiscard]] bool IsWaiting() const noexcept { return !mFirstByte; }

  /// Stops or restarts the flow of bytes from the backend server.
  void SetFlow(transfer_flow aFlow);

  /// The head to pass on, once, when the answer is passed on in pieces.
  std::optional<upstream_head> TakeHead();

  /// What has come in since the last call, when it is to be passed on.
  std::optional<upstream_piece> TakePiece();

  /// Describes the end. Failure says why the loop ended the attempt itself;
  /// Result is libcurl's word otherwise.
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

  // Whether the answer's bytes wait for its end or are passed on at once.
  enum class forwarding
  {
    Undecided,
    Held,
    PassedOn,
  };

  static std::size_t OnBytes(char* aData,
                             std::size_t aSize,
                             std::size_t aCount,
                             void* aTransfer);
  void Receive(std::string_view aBytes);
  void DecideForwarding();
  void SetMethod();
  void SetHeaders();
  void SetConnection();
  [[nodiscard]] std::uint16_t Status() const;
  [[nodiscard]] std::string ContentType() const;
  [[nodiscard]] bool WasConnected() const;
  [[nodiscard]] transfer_failure Classify(CURLcode aResult) const;

  upstream_request mRequest;
  std::vector<transfer*>& mReceived;
  bool mIsListed = false;
  std::unique_ptr<CURL, handle_deleter> mHandle;
  std::unique_ptr<curl_slist, list_deleter> mHeaders;
  instant mFirstByteDeadline;
  std::optional<instant> mFirstByte;
  forwarding mForwarding = forwarding::Undecided;
  bool mHeadTaken = false;
  bool mIsEventStream = false;
  event_stream_scan mScan;
  std::string mBytes;
  std::uint64_t mForwardedBytes = 0;
};

}
