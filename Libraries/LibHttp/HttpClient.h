#pragma once

#include <LibHttp/HttpExchangeCall.h>
#include <LibHttp/HttpExchangeResult.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lycheeseam {

/// Makes HTTP calls on the thread of its io_context and keeps connections
/// open between them. Never repeats a call by itself.
class http_client
{
public:
  using tcp = boost::asio::ip::tcp;
  using handler = std::function<void(http_exchange_result)>;

  explicit http_client(boost::asio::io_context& aContext);

  /// Makes a call; the handler runs once, on the context's thread.
  void Call(http_exchange_call aCall, handler aHandler);

private:
  class transfer;
  friend class transfer;

  boost::asio::io_context& mContext;
  std::map<endpoint, std::vector<std::shared_ptr<tcp::socket>>> mIdle;
};

}
