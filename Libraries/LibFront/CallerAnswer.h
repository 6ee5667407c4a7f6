#pragma once

#include <LibCore/Identifiers.h>
#include <LibRequest/Refusal.h>

#include <pistache/http.h>
#include <pistache/transport.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes the answer to one call. Used on the thread of the caller's front
/// worker only.
class caller_answer : public std::enable_shared_from_this<caller_answer>
{
public:
  caller_answer(Pistache::Http::ResponseWriter aWriter,
                Pistache::Tcp::Transport& aTransport,
                request_id aRequest);

  /// Sends a complete answer; not allowed once a streamed answer has begun.
  void SendComplete(std::uint16_t aStatus,
                    std::string_view aContentType,
                    std::string const& aBody);

  /// Sends an error: as the answer, or as the last event of an event stream
  /// that has begun. Any other stream is cut off by closing the connection.
  void SendRefusal(refusal const& aRefusal);

  /// Begins a streamed answer.
  void Begin(std::uint16_t aStatus, std::string_view aContentType);

  /// Sends the next bytes of a streamed answer.
  void Write(std::string_view aBytes);

  /// Ends a streamed answer.
  void End();

  /// False once the caller is disconnected; writes do nothing from then on.
  [[nodiscard]] bool IsConnected() const;

  /// Sets a callback that runs whenever no unsent bytes are left.
  void SetDrainedCallback(std::function<void()> aCallback);

  /// Bytes written to the transport that the kernel hasn't accepted yet.
  [[nodiscard]] std::size_t UnsentBytes() const noexcept
  {
    return mUnsentBytes;
  }

private:
  void AddHeader(std::string aName, std::string aValue);
  void AddCommonHeaders(std::string_view aContentType);
  void SendRefusalAnswer(refusal const& aRefusal);
  void SendRefusalEvent(refusal const& aRefusal);
  void Disconnect();
  void Release(std::size_t aBytes);

  Pistache::Http::ResponseWriter mWriter;
  Pistache::Tcp::Transport& mTransport;
  request_id mRequest;
  std::optional<Pistache::Http::ResponseStream> mStream;
  bool mIsEventStream = false;
  std::size_t mUnsentBytes = 0;
  std::function<void()> mOnDrained;
};

}
