#pragma once

#include <StandIns/Http/HttpExchange.h>

#include <concepts>
#include <cstddef>
#include <memory>

namespace lycheeseam::standin {

/// A handler of a stand-in's requests. It gets each request with the number of
/// POSTs that the connection has carried so far, this one included.
template<typename Handler>
concept http_handler = requires(Handler& aHandler,
                                std::shared_ptr<http_exchange> const& aExchange,
                                std::size_t aPostsOnConnection)
{
  aHandler.Handle(aExchange, aPostsOnConnection);
};

}
