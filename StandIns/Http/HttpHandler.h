#pragma once

#include <StandIns/Http/HttpExchange.h>

#include <concepts>
#include <cstddef>
#include <memory>

namespace lycheeseam::standin {

/// What answers a stand-in's requests: it gets each request with the number
/// of POSTs that its connection has carried so far, this one included.
template<typename Handler>
concept http_handler = requires(Handler& aHandler,
                                std::shared_ptr<http_exchange> const& aExchange,
                                std::size_t aPostsOnConnection)
{
  aHandler.Handle(aExchange, aPostsOnConnection);
};

}
