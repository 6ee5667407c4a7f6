#pragma once

#include <LibCore/Endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace lycheeseam {

/// A backend server that reads the head of each request, answers at once, and
/// resets the connection while the body is still arriving.
class resetting_server
{
public:
  using tcp = boost::asio::ip::tcp;

  explicit resetting_server(std::string aAnswer)
    : mAnswer(std::move(aAnswer))
    , mAcceptor(mContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this]() { Serve(); })
  {
  }
  resetting_server(resetting_server const&) = delete;
  resetting_server& operator=(resetting_server const&) = delete;

  ~resetting_server()
  {
    mIsStopped = true;
    // The connection makes the thread return from accept.
    tcp::socket waker{ mContext };
    boost::system::error_code ignored;
    waker.connect(mAcceptor.local_endpoint(), ignored);
    mThread.join();
  }

  [[nodiscard]] endpoint Address() const
  {
    return { .mAddress = "127.0.0.1",
             .mPort = mAcceptor.local_endpoint().port() };
  }

private:
  void Serve()
  {
    for (;;) {
      tcp::socket socket{ mContext };
      boost::system::error_code fault;
      mAcceptor.accept(socket, fault);
      if (mIsStopped || fault)
        return;
      boost::asio::streambuf head;
      boost::asio::read_until(socket, head, "\r\n\r\n", fault);
      boost::asio::write(socket, boost::asio::buffer(mAnswer), fault);
      socket.set_option(boost::asio::socket_base::linger{ true, 0 }, fault);
      socket.close(fault);
    }
  }

  std::string mAnswer;
  std::atomic<bool> mIsStopped = false;
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

}
