#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace lycheeseam {

/// Runs work on a context after a delay. It can't be cancelled.
template<typename Work>
void
RunAfter(boost::asio::io_context& aContext,
         std::chrono::milliseconds aDelay,
         Work aWork)
{
  std::shared_ptr<boost::asio::steady_timer> const timer =
    std::make_shared<boost::asio::steady_timer>(aContext, aDelay);
  timer->async_wait(
    [timer, work = std::move(aWork)](boost::system::error_code) { work(); });
}

}
