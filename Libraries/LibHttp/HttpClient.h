#pragma once

#include <LibHttp/HttpExchangeCall.h>
#include <LibHttp/HttpExchangeResult.h>
#include <LibHttp/IdleSocket.h>
#include <LibMetrics/MetricsRecorder.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// An HTTP client for control calls. It runs on the thread of its io_context,
/// reuses idle connections, and records the calls' counts and times as metrics.
/// A GET that isn't answered soon over a reused connection is sent once more
/// over a new one; other calls are never sent twice.
class http_client
{
public:
  using tcp = boost::asio::ip::tcp;
  using handler = std::function<void(http_exchange_result)>;

  http_client(boost::asio::io_context& aContext, metrics_recorder& aRecorder);

  /// Starts a call; the handler runs exactly once, on the context's thread.
  void Call(http_exchange_call aCall, handler aHandler);

private:
  struct attempt;
  class transfer;
  friend class transfer;

  // Takes an idle connection that is still usable, if there is one.
  std::optional<idle_socket> TakeIdle(endpoint const& aTo);

  void Record(std::string_view aPurpose,
              duration aTime,
              http_exchange_result const& aResult);

  boost::asio::io_context& mContext;
  metrics_recorder& mRecorder;
  std::map<endpoint, std::vector<idle_socket>> mIdle;
};

}
