#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace lycheeseam {

/// A TCP relay between two processes that a scenario can cut and heal. It runs
/// on the relay thread only; other threads post to it.
class relay : public std::enable_shared_from_this<relay>
{
public:
  /// Listens on a free port and relays to the target port, both on loopback.
  relay(boost::asio::io_context& aContext, std::uint16_t aTargetPort);

  /// Starts to accept connections.
  void Start();

  /// The port on which the relay listens.
  [[nodiscard]] std::uint16_t Port() const { return mPort; }

  /// Holds back all bytes, like a network that loses every packet.
  void Cut();

  /// Forwards the held bytes and all later ones.
  void Heal();

  /// Resets all connections.
  void Reset();

  /// Forwards the next request, and resets its connection at the first byte of
  /// the answer.
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
