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

/// Writes one caller's answer. Used on the caller's worker thread only.
class caller_answer : public std::enable_shared_from_this<caller_answer>
{
public:
  caller_answer(Pistache::Http::ResponseWriter aWriter,
                Pistache::Tcp::Transport& aTransport,
                request_id aRequest);

  /// Sends a whole answer; may only come first.
  void SendWhole(std::uint16_t aStatus,
                 std::string_view aContentType,
                 std::string const& aBody);

  /// Sends an error: as the answer, or as the last event of a stream that
  /// has begun.
  void SendRefusal(refusal const& aRefusal);

  /// Begins a streamed answer.
  void Begin(std::uint16_t aStatus, std::string_view aContentType);

  /// Sends the next bytes of a streamed answer.
  void Write(std::string_view aBytes);

  /// Ends a streamed answer.
  void End();

  /// False once the caller has gone; writes do nothing from then on.
  [[nodiscard]] bool IsConnected() const;

  /// Calls back whenever all bytes handed to the transport are taken.
  void SetDrainedCallback(std::function<void()> aCallback);

  /// Bytes handed to the transport and not yet taken by the kernel.
  [[nodiscard]] std::size_t UnsentBytes() const noexcept
  {
    return mUnsentBytes;
  }

private:
  void AddHeader(std::string aName, std::string aValue);
  void AddCommonHeaders(std::string_view aContentType);
  void SendRefusalWhole(refusal const& aRefusal);
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
