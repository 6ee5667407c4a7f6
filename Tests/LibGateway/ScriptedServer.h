#pragma once

#include "AnswerScript.h"
#include <LibCore/Endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lycheeseam {

/// A backend server that answers each request with the next answer of its
/// script, byte for byte, or with the result of a function of the request's
/// bytes; servers may share a script. "close" instead of an
/// answer closes the connection, "hang" waits until the gateway closes it.
/// After an answer that ends with "\a" the connection is closed as well. An
/// answer that ends with "\f" is followed by bytes without end, one that ends
/// with "\v" by a byte each 20 ms, until the gateway closes the connection or
/// has taken kMaxFloodBytes; the
/// bytes repeat what follows the last "\b" of the answer. At each "\x1e" the
/// answer pauses, so that it arrives in several reads.
class scripted_server
{
public:
  using tcp = boost::asio::ip::tcp;

  explicit scripted_server(std::vector<std::string> aAnswers)
    : scripted_server(std::make_shared<answer_script>(std::move(aAnswers)))
  {
  }

  explicit scripted_server(std::shared_ptr<answer_script> aScript)
    : scripted_server([script = std::move(aScript)](std::string const&) {
      return script->Next();
    })
  {
  }

  /// The function runs on any thread.
  explicit scripted_server(
    std::function<std::string(std::string const&)> aAnswerTo)
    : mAnswerTo(std::move(aAnswerTo))
    , mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this]() { Serve(); })
  {
  }
  scripted_server(scripted_server const&) = delete;
  scripted_server& operator=(scripted_server const&) = delete;

  ~scripted_server()
  {
    mIsStopped = true;
    // The connection makes the thread return from accept.
    tcp::socket waker{ mContext };
    boost::system::error_code ignored;
    waker.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
    for (std::thread& thread : mConnections)
      thread.join();
  }

  [[nodiscard]] endpoint Address() const
  {
    return { .mAddress = "127.0.0.1",
             .mPort = mAcceptor.local_endpoint().port() };
  }

  /// The requests so far, head and body as received.
  [[nodiscard]] std::vector<std::string> Requests()
  {
    std::lock_guard const lock{ mMutex };
    return mRequests;
  }

  /// How many connections the gateway closed while an answer was due.
  [[nodiscard]] int Abandoned() const { return mAbandoned; }

  /// The bytes of answers without end that were taken so far, by the gateway
  /// or by the buffers of the system.
  [[nodiscard]] std::size_t FloodBytes() const { return mFloodBytes; }

  /// How many connections were opened.
  [[nodiscard]] int Accepted() const { return mAccepted; }

private:
  // Keeps a test that fails from using up the memory of its machine.
  static constexpr std::size_t kMaxFloodBytes = 268'435'456;

  void Serve()
  {
    for (;;) {
      tcp::socket socket{ mContext };
      boost::system::error_code fault;
      mAcceptor.accept(socket, fault);
      if (mIsStopped || fault)
        return;
      ++mAccepted;
      mConnections.emplace_back(
        [this, connection = std::move(socket)]() mutable {
          ServeConnection(connection);
        });
    }
  }

  void ServeConnection(tcp::socket& aSocket)
  {
    std::string bytes;
    for (;;) {
      std::optional<std::string> const request = ReadRequest(aSocket, bytes);
      if (!request)
        return;
      std::string answer = mAnswerTo(*request);
      if (answer == "close")
        return;
      if (answer == "hang") {
        char byte = 0;
        boost::system::error_code fault;
        aSocket.read_some(boost::asio::buffer(&byte, 1), fault);
        ++mAbandoned;
        return;
      }
      if (answer.ends_with('\f') || answer.ends_with('\v'))
        return SendWithoutEnd(aSocket, answer);
      bool const closes = answer.ends_with('\a');
      if (closes)
        answer.pop_back();
      if (!SendInSegments(aSocket, answer) || closes)
        return;
    }
  }

  // False when the gateway has closed the connection.
  static bool SendInSegments(tcp::socket& aSocket, std::string_view aAnswer)
  {
    constexpr char kPause = '\x1e';
    boost::system::error_code fault;
    aSocket.set_option(tcp::no_delay{ true }, fault);
    for (;;) {
      std::size_t const end = aAnswer.find(kPause);
      boost::asio::write(
        aSocket, boost::asio::buffer(aAnswer.substr(0, end)), fault);
      if (fault || end == std::string_view::npos)
        return !fault;
      aAnswer.remove_prefix(end + 1);
      std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    }
  }

  void SendWithoutEnd(tcp::socket& aSocket, std::string const& aAnswer)
  {
    bool const isSlow = aAnswer.ends_with('\v');
    std::size_t const mark = aAnswer.rfind('\b');
    std::string const filler =
      aAnswer.substr(mark + 1, aAnswer.size() - mark - 2);
    std::string block;
    while (block.size() < (isSlow ? 1 : 16'384))
      block += filler;
    boost::system::error_code fault;
    boost::asio::write(
      aSocket, boost::asio::buffer(aAnswer.substr(0, mark)), fault);
    while (!fault && !mIsStopped && mFloodBytes < kMaxFloodBytes) {
      mFloodBytes +=
        boost::asio::write(aSocket, boost::asio::buffer(block), fault);
      if (isSlow)
        std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    }
    ++mAbandoned;
  }

  std::optional<std::string> ReadRequest(tcp::socket& aSocket,
                                         std::string& aBytes)
  {
    boost::system::error_code fault;
    std::size_t const head = boost::asio::read_until(
      aSocket, boost::asio::dynamic_buffer(aBytes), "\r\n\r\n", fault);
    if (fault)
      return std::nullopt;
    std::size_t length = 0;
    std::size_t const at = aBytes.find("Content-Length: ");
    if (at != std::string::npos && at < head)
      length = std::stoul(aBytes.substr(at + 16));
    if (aBytes.size() < head + length)
      boost::asio::read(
        aSocket,
        boost::asio::dynamic_buffer(aBytes),
        boost::asio::transfer_exactly(head + length - aBytes.size()),
        fault);
    if (fault)
      return std::nullopt;
    std::lock_guard const lock{ mMutex };
    mRequests.push_back(aBytes.substr(0, head + length));
    aBytes.erase(0, head + length);
    return mRequests.back();
  }

  std::function<std::string(std::string const&)> mAnswerTo;
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::mutex mMutex;
  std::vector<std::string> mRequests;
  std::atomic<bool> mIsStopped{ false };
  std::atomic<int> mAbandoned{ 0 };
  std::atomic<int> mAccepted{ 0 };
  std::atomic<std::size_t> mFloodBytes{ 0 };
  std::vector<std::thread> mConnections;
  std::thread mThread;
};

}
