#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace lycheeseam {

/// A TCP relay between two processes, which can be cut and healed. All of it
/// runs on the relay thread; other threads post to it.
class relay : public std::enable_shared_from_this<relay>
{
public:
  /// Listens on a port of its own and relays to a port, both on loopback.
  relay(boost::asio::io_context& aContext, std::uint16_t aTargetPort);

  /// Accepts from now on.
  void Start();

  /// The port to connect to.
  [[nodiscard]] std::uint16_t Port() const { return mPort; }

  /// Holds all bytes back, as a network that loses every packet.
  void Cut();

  /// Lets held bytes and new ones through again.
  void Heal();

  /// Resets all connections.
  void Reset();

  /// Lets the next request through and resets its connection at the first
  /// byte of the answer.
  void LoseNextAnswer() { mLosesNextAnswer = true; }

private:
  struct link;
  enum class direction
  {
    Request,
    Answer,
  };

  boost::asio::awaitable<void> AcceptAll();
  boost::asio::awaitable<void> Serve(std::shared_ptr<link> aLink);
  boost::asio::awaitable<void> Pump(std::shared_ptr<link> aLink,
                                    direction aDirection);
  boost::asio::awaitable<void> UntilHealed();

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::endpoint mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mHealed;
  std::vector<std::weak_ptr<link>> mLinks;
  std::uint16_t mPort = 0;
  bool mIsCut = false;
  bool mLosesNextAnswer = false;
};

}
