#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <utility>

namespace lycheeseam {

/// Posts callbacks to an io_context, to run on its thread (the control thread).
struct asio_poster
{
  boost::asio::io_context* mContext;

  void operator()(std::function<void()> aCallback) const
  {
    boost::asio::post(*mContext, std::move(aCallback));
  }
};

}
